//! The weight store over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use crate::platform::Weights;
use crate::platform::http::Http;

/// The time for an answer.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(5);

/// The weight store, if the settings name one.
#[derive(Debug, Clone)]
pub(crate) struct HttpWeights {
    /// How requests are sent.
    pub(crate) http: Http,
    /// Where the service is; without one, every model counts as available.
    pub(crate) address: Option<SocketAddr>,
}

impl Weights for HttpWeights {
    async fn is_available(&self, model: &str, version: &str) -> bool {
        let Some(address) = self.address else {
            return true;
        };
        let path = format!("/v1/weights/{model}/{version}");
        self.http
            .head(address, &path, WEIGHTS_TIMEOUT)
            .await
            .is_ok()
    }
}
