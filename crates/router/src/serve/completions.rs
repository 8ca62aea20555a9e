//! Completions: admission, attempts and settlement.

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::blackboard::Placement;
use limpetsaddle_core::blackboard::PlacementRequest;
use limpetsaddle_core::config::PoolKind;
use limpetsaddle_core::names::PoolName;
use limpetsaddle_core::placement::CacheScope;
use limpetsaddle_core::placement::PrefixChain;
use limpetsaddle_core::refusal::Execution;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::refusal::Refusal;
use limpetsaddle_core::retry::Attempts;
use limpetsaddle_core::retry::Failure;
use limpetsaddle_core::retry::RetryDecision;
use limpetsaddle_core::stream::StreamProgress;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::units::WeightsVersion;
use limpetsaddle_core::upstreams::UpstreamId;

use super::Caller;
use super::Exchange;
use super::admission;
use super::attempt::AttemptResult;
use super::placing;
use crate::completion::CompletionAssembler;
use crate::completion::CompletionRequest;
use crate::completion::Endpoint;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::responses;

/// The number of engines that may serve other weights than recorded before this
/// counts as a failed attempt.
const MAX_WEIGHTS_MISMATCHES: u32 = 16;

/// The time after the arrival of a request in which it may start another attempt.
const ATTEMPTS_DEADLINE: Duration = Duration::from_mins(1);

/// The pool of engines that serves a model.
#[derive(Clone, Debug)]
struct EnginePool {
    name: PoolName,
    weights: WeightsVersion,
    block: Tokens,
}

/// A completion and the state that its attempts share.
pub(super) struct CompletionCall {
    pub(super) caller: Caller,
    pub(super) completion: CompletionRequest,
    pub(super) pool: PoolName,
    pub(super) scope: CacheScope,
    pub(super) chain: PrefixChain,
    pub(super) progress: StreamProgress,
    pub(super) assembly: CompletionAssembler,
    pub(super) arrived: Time,
    pub(super) last_token: Option<Time>,
    block: Tokens,
}

/// Serves a request for a completion.
///
/// # Errors
///
/// Returns a refusal if the request cannot be served.
pub(super) async fn serve(exchange: &mut Exchange<'_>, endpoint: Endpoint) -> Result<(), Refusal> {
    let instance = Rc::clone(exchange.instance);
    let caller = exchange.authenticate()?;
    super::forward::refuse_leaked_key(exchange)?;
    let default_max_tokens = instance.settings.default_max_tokens;
    let completion = CompletionRequest::parse(endpoint, exchange.req.body(), default_max_tokens)
        .map_err(Refusal::not_run)?;
    let pool = engine_pool(&instance, &caller, &completion).map_err(Refusal::not_run)?;
    let cost = completion.prompt_tokens() + completion.max_output_tokens;
    let reservation = admission::reserve(&instance, &caller.team, cost).await?;
    let mut call = CompletionCall::new(exchange, caller, completion, pool);
    let mut attempts = Attempts::new(true, call.arrived + ATTEMPTS_DEADLINE);
    let outcome = call.run(exchange, &mut attempts).await;
    let used_tokens = call.used_tokens(attempts.execution());
    admission::settle(&instance, reservation, used_tokens);
    call.charge(&instance, used_tokens);
    outcome
}

fn engine_pool(
    instance: &Instance,
    caller: &Caller,
    completion: &CompletionRequest,
) -> Result<EnginePool, Reason> {
    let board = instance.board.borrow();
    let (name, spec) = board
        .pool_for(&completion.model)
        .ok_or(Reason::UnknownModel)?;
    let team = board.store.team(&caller.team).ok_or(Reason::UnknownKey)?;
    if !team.models.is_empty() && !team.models.contains(&completion.model) {
        return Err(Reason::Forbidden);
    }
    match &spec.kind {
        PoolKind::Engine { weights, block, .. } => Ok(EnginePool {
            name: name.clone(),
            weights: *weights,
            block: *block,
        }),
        PoolKind::KvStore | PoolKind::Service => Err(Reason::UnknownModel),
    }
}

impl CompletionCall {
    fn new(
        exchange: &Exchange<'_>,
        caller: Caller,
        completion: CompletionRequest,
        pool: EnginePool,
    ) -> Self {
        let scope = CacheScope {
            team: caller.team.clone(),
            model: completion.model.clone(),
            weights: pool.weights,
        };
        Self {
            chain: PrefixChain::new(scope.salt(), &completion.prompt, pool.block),
            progress: StreamProgress::new((&*exchange.id).into()),
            assembly: CompletionAssembler::default(),
            arrived: exchange.instance.now(),
            last_token: None,
            pool: pool.name,
            block: pool.block,
            caller,
            completion,
            scope,
        }
    }

    /// Makes attempts until the response is complete or the request is refused.
    async fn run(
        &mut self,
        exchange: &mut Exchange<'_>,
        attempts: &mut Attempts,
    ) -> Result<(), Refusal> {
        let instance = Rc::clone(exchange.instance);
        let mut failed: Vec<UpstreamId> = Vec::new();
        record_for_retry_budget(&instance);
        let mut weights_mismatches = 0;
        loop {
            let placed = self.place(&instance, &failed).await;
            let placement = placed.map_err(|refusal| with_prior_execution(refusal, attempts))?;
            let upstream = placement.choice.upstream;
            let result = self.attempt(exchange, placement).await;
            instance.serve_queue();
            let failure = match result {
                AttemptResult::Complete => return self.finish(exchange).await,
                AttemptResult::CallerDisconnected => {
                    instance.metrics.count(Event::CallerDisconnected);
                    return Ok(());
                }
                AttemptResult::Refused(refusal) => return Err(refusal),
                AttemptResult::Failed(failure) => failure,
                // The upstream's weights have been corrected and no token from the
                // wrong weights was forwarded, so placement can be repeated.
                AttemptResult::WeightsMismatch if weights_mismatches < MAX_WEIGHTS_MISMATCHES => {
                    weights_mismatches += 1;
                    continue;
                }
                AttemptResult::WeightsMismatch => Failure::InvalidResponse,
            };
            failed.push(upstream);
            self.delay(&instance, attempts, failure).await?;
        }
    }

    /// Waits before the next attempt.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is to be no further attempt.
    async fn delay(
        &self,
        instance: &Rc<Instance>,
        attempts: &mut Attempts,
        failure: Failure,
    ) -> Result<(), Refusal> {
        let decision = decide_retry(instance, attempts, failure);
        match decision {
            RetryDecision::GiveUp(refusal) => Err(refusal),
            RetryDecision::Retry { after, reason } => {
                instance.metrics.retried(reason);
                if self.progress.forwarded() > 0 {
                    instance.metrics.count(Event::StreamResumed);
                }
                monoio::time::sleep(after).await;
                Ok(())
            }
        }
    }

    /// Selects an upstream with the configured weights or, if no engine has loaded
    /// them yet, with others. A response never mixes tokens of two versions.
    async fn place(
        &mut self,
        instance: &Rc<Instance>,
        failed: &[UpstreamId],
    ) -> Result<Placement, Refusal> {
        let versions = match self.progress.forwarded() {
            0 => instance
                .board
                .borrow()
                .weights_in_use(&self.pool, self.scope.weights),
            _ => vec![self.scope.weights],
        };
        let mut refusal = Refusal::not_run(Reason::NoUpstream);
        // If no other upstream is available, failed ones are eligible again.
        for exclude in [failed, &[]] {
            for weights in &versions {
                self.set_weights(*weights);
                let wanted = PlacementRequest {
                    pool: &self.pool,
                    chain: &self.chain,
                    weights: Some(*weights),
                    exclude,
                };
                let team = Some(&self.caller.team);
                match placing::place(instance, team, &wanted).await {
                    Ok(placement) => return Ok(placement),
                    Err(other) => refusal = other,
                }
                if refusal.reason != Reason::NoUpstream {
                    return Err(refusal);
                }
            }
        }
        Err(refusal)
    }

    fn set_weights(&mut self, weights: WeightsVersion) {
        if self.scope.weights == weights {
            return;
        }
        self.scope.weights = weights;
        let salt = self.scope.salt();
        self.chain = PrefixChain::new(salt, &self.completion.prompt, self.block);
    }

    /// Sends the complete response, or ends the stream.
    async fn finish(&self, exchange: &mut Exchange<'_>) -> Result<(), Refusal> {
        if !self.completion.stream {
            let body = self.assembly.document(&self.completion, &exchange.id);
            let res = responses::document(http::StatusCode::OK, body);
            exchange.respond(res).await;
            return Ok(());
        }
        let sent = exchange.conn.send("data: [DONE]\n\n".into()).await;
        if sent.is_err() || exchange.conn.finish().await.is_err() {
            exchange.instance.metrics.count(Event::CallerDisconnected);
        }
        Ok(())
    }

    /// Returns the number of tokens to charge to the team.
    fn used_tokens(&self, ran: Execution) -> Tokens {
        if let Some(usage) = self.assembly.usage() {
            return Tokens(usage.prompt_tokens + self.progress.forwarded());
        }
        if ran == Execution::NotRun && self.progress.forwarded() == 0 && self.last_token.is_none() {
            return Tokens::ZERO;
        }
        self.completion.prompt_tokens() + Tokens(self.progress.forwarded())
    }

    fn charge(&self, instance: &Instance, used_tokens: Tokens) {
        let now = instance.now();
        let mut board = instance.board.borrow_mut();
        let team = &self.caller.team;
        let weight = board.store.team(team).map_or(1, |t| t.weight);
        board.usage.charge(team, weight, used_tokens, now);
    }
}

/// Adds the retries that a new request earns to the retry budget.
pub(super) fn record_for_retry_budget(instance: &Instance) {
    let mut board = instance.board.borrow_mut();
    let percent = board.policy().retry_percent;
    board.budget.record_request(percent);
}

/// Records a failed attempt and returns whether to retry.
pub(super) fn decide_retry(
    instance: &Instance,
    attempts: &mut Attempts,
    failure: Failure,
) -> RetryDecision {
    let now = instance.now();
    let random = instance.random.draw();
    let mut board = instance.board.borrow_mut();
    let policy = board.policy().clone();
    attempts.record_failure(failure, &mut board.budget, &policy, now, random)
}

/// Marks a refusal's execution as unknown if an earlier attempt may have run.
pub(super) fn with_prior_execution(mut refusal: Refusal, attempts: &Attempts) -> Refusal {
    if attempts.execution() == Execution::Unknown {
        refusal.ran = Execution::Unknown;
    }
    refusal
}
