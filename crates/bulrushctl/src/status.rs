//! The status of a router.

use serde_json::Value;

use crate::error::{Error, Service};
use crate::http::Client;
use crate::output::{self, Output};

/// Where a router shows its status.
pub(crate) const PATH: &str = "/status";

/// Prints the status of a router.
///
/// # Errors
///
/// Fails if the router does not answer or refuses the token.
pub(crate) async fn run(router: &Client, out: &Output) -> Result<(), Error> {
    let status: Value = read(router).await?;
    out.result(&status, || output::outline(&status));
    Ok(())
}

/// Reads the status of a router, or the part of it that is of interest.
///
/// # Errors
///
/// Fails if the router does not answer or refuses the token.
pub(crate) async fn read<T: serde::de::DeserializeOwned>(router: &Client) -> Result<T, Error> {
    let status = router.get(PATH).await;
    status.map_err(|err| Error::unavailable(Service::Router, err))
}
