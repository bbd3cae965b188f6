//! Sends orders to targets, one at a time per target.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use bulrushtrestle_core::input::{Input, OrderEvent};
use bulrushtrestle_core::key::{Fence, TargetId};
use bulrushtrestle_core::output::Order;
use tokio::sync::{Mutex, mpsc};

use crate::metrics::{Edge, Metrics};
use crate::platform::{HttpTarget, HttpWeights, Target, Weights};

/// The sender of orders to targets.
#[derive(Debug)]
pub(super) struct Orders {
    weights: Rc<HttpWeights>,
    /// A lock for each target, held while an order to the target is in progress.
    locks: HashMap<TargetId, Rc<Mutex<()>>>,
    inputs: mpsc::UnboundedSender<Input>,
    metrics: Arc<Metrics>,
}

impl Orders {
    /// Returns a sender with no orders in progress.
    pub(super) fn new(
        weights: HttpWeights,
        inputs: mpsc::UnboundedSender<Input>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            weights: Rc::new(weights),
            locks: HashMap::new(),
            inputs,
            metrics,
        }
    }

    /// Sends an order once all earlier orders to the same target are complete.
    pub(super) fn send(
        &mut self,
        id: TargetId,
        target: HttpTarget,
        order: Order,
        fence: Fence,
        checks_fence: bool,
    ) {
        let lock = Rc::clone(self.locks.entry(id).or_default());
        let weights = Rc::clone(&self.weights);
        let inputs = self.inputs.clone();
        let metrics = Arc::clone(&self.metrics);
        tokio::task::spawn_local(async move {
            let _guard = lock.lock().await;
            let event = match can_load(&*weights, &order).await {
                true => target.order(&order, fence, checks_fence).await,
                false => OrderEvent::Unknown,
            };
            if event == OrderEvent::Unknown {
                metrics.edge(Edge::OrderFailed);
            }
            drop(inputs.send(Input::Ordered(id, event)));
        });
    }
}

/// Returns whether the weight store can provide the weights that an order needs.
async fn can_load(weights: &impl Weights, order: &Order) -> bool {
    match order {
        Order::Role { .. } => true,
        Order::Load { models, version } => {
            for model in models {
                if !weights.is_available(model, version).await {
                    return false;
                }
            }
            true
        }
    }
}
