//! An HTTP client of the VM list.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushtrestle_core::input::Vm;
use serde::Deserialize;

use crate::platform::http::Http;
use crate::platform::{Unanswered, VmList};

/// The timeout for a read of the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the VM list.
#[derive(Debug, Clone)]
pub(crate) struct HttpVmList {
    /// The client that sends the requests.
    pub(crate) http: Http,
    /// The address of the service.
    pub(crate) address: SocketAddr,
}

#[derive(Deserialize)]
struct ListAnswer {
    vms: Vec<Vm>,
}

impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Vm>, Unanswered> {
        let answer: ListAnswer = self
            .http
            .get(self.address, "/v1/vms", LIST_TIMEOUT)
            .await
            .map_err(|_| Unanswered)?;
        Ok(answer.vms)
    }
}
