//! Orders to targets, one at a time for each target.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use bulrushtrestle_core::input::{Input, OrderEvent};
use bulrushtrestle_core::key::{Fence, TargetId};
use bulrushtrestle_core::output::Order;
use tokio::sync::{Mutex, mpsc};

use crate::metrics::{Edge, Metrics};
use crate::platform::{HttpTarget, HttpWeights, Target, Weights};

/// The control thread's way to give orders.
#[derive(Debug)]
pub(super) struct Orders {
    weights: Rc<HttpWeights>,
    locks: HashMap<TargetId, Rc<Mutex<()>>>,
    inputs: mpsc::UnboundedSender<Input>,
    metrics: Arc<Metrics>,
}

impl Orders {
    /// Returns the way to give orders.
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

    /// Gives an order after those to the same target that are under way.
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

/// Says whether the weight store would hand out what an order needs.
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
