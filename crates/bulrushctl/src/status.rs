//! The status of a router.

use serde_json::Value;

use crate::error::Error;
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
    router.get(PATH).await.map_err(|err| match err.status() {
        Some(status) if status.is_client_error() => {
            Error::field("--router-token-file", err.to_string())
        }
        _ => Error::unavailable("the router", err),
    })
}
