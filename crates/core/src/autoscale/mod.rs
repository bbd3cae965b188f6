//! Autoscale: how many targets a pool needs in each data centre.
