//! Fetches and prints the status of a router.

use serde_json::Value;

use crate::error::{Error, Service};
use crate::http::Client;
use crate::output::{self, Output};

/// The path of the status on the operators' listener of a router.
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

/// Fetches the status of a router, or the fields of the status that `T` has.
///
/// # Errors
///
/// Fails if the router does not answer or refuses the token.
pub(crate) async fn read<T: serde::de::DeserializeOwned>(router: &Client) -> Result<T, Error> {
    let status = router.get(PATH).await;
    status.map_err(|err| Error::unavailable(Service::Router, err))
}
