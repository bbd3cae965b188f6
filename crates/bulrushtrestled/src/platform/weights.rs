//! An HTTP client of the weight store.

use std::net::SocketAddr;
use std::time::Duration;

use crate::platform::Weights;
use crate::platform::http::Http;

/// The timeout for a request.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of the weight store, if the settings name one.
#[derive(Debug, Clone)]
pub(crate) struct HttpWeights {
    /// The client that sends the requests.
    pub(crate) http: Http,
    /// The address of the service. If there is none, every model counts as available.
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
