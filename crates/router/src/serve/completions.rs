//! Completions: from admission over all attempts to settlement.

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
use super::attempt::Ended;
use super::placing;
use crate::completion::CompletionAssembler;
use crate::completion::CompletionRequest;
use crate::completion::Endpoint;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::responses;

/// The engines that may turn out to hold other weights before that counts as a
/// failed attempt.
const MAX_SURPRISES: u32 = 16;

/// The time after its arrival until which a request may start another attempt.
const ATTEMPTS_DEADLINE: Duration = Duration::from_mins(1);

/// An `EnginePool` is the pool that responses for a model.
#[derive(Clone, Debug)]
struct EnginePool {
    name: PoolName,
    weights: WeightsVersion,
    block: Tokens,
}

/// A `Job` is one completion on its way through its attempts.
pub(super) struct Job {
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
/// Returns the refusal of a request that cannot be answered.
pub(super) async fn serve(exchange: &mut Exchange<'_>, endpoint: Endpoint) -> Result<(), Refusal> {
    let instance = Rc::clone(exchange.instance);
    let caller = exchange.authenticate()?;
    super::forward::check_for_key(exchange)?;
    let default_max_tokens = instance.settings.default_max_tokens;
    let completion = CompletionRequest::parse(endpoint, exchange.req.body(), default_max_tokens)
        .map_err(Refusal::not_run)?;
    let pool = engine_pool(&instance, &caller, &completion).map_err(Refusal::not_run)?;
    let cost = completion.prompt_tokens() + completion.max_output_tokens;
    let reservation = admission::reserve(&instance, &caller.team, cost).await?;
    let mut job = Job::new(exchange, caller, completion, pool);
    let mut attempts = Attempts::new(true, job.arrived + ATTEMPTS_DEADLINE);
    let outcome = job.run(exchange, &mut attempts).await;
    let used = job.used(attempts.execution());
    admission::settle(&instance, reservation, used);
    job.charge(&instance, used);
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

impl Job {
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

    /// Makes attempts until the answer is complete or given up.
    async fn run(
        &mut self,
        exchange: &mut Exchange<'_>,
        attempts: &mut Attempts,
    ) -> Result<(), Refusal> {
        let instance = Rc::clone(exchange.instance);
        let mut failed: Vec<UpstreamId> = Vec::new();
        deposit(&instance);
        let mut surprises = 0;
        loop {
            let placed = self.place(&instance, &failed).await;
            let placement = placed.map_err(|refusal| after_attempts(refusal, attempts))?;
            let upstream = placement.choice.upstream;
            let ended = self.attempt(exchange, placement).await;
            instance.serve_queue();
            let failure = match ended {
                Ended::Complete => return self.finish(exchange).await,
                Ended::CallerLeft => {
                    instance.metrics.count(Event::CallerLeft);
                    return Ok(());
                }
                Ended::Refused(refusal) => return Err(refusal),
                Ended::Failed(failure) => failure,
                // The table now knows better, and no token has been passed on
                // from the wrong weights: the next place is a right one.
                Ended::OtherWeights if surprises < MAX_SURPRISES => {
                    surprises += 1;
                    continue;
                }
                Ended::OtherWeights => Failure::InvalidResponse,
            };
            failed.push(upstream);
            self.delay(&instance, attempts, failure).await?;
        }
    }

    /// Waits before the next attempt, or gives up.
    async fn delay(
        &self,
        instance: &Rc<Instance>,
        attempts: &mut Attempts,
        failure: Failure,
    ) -> Result<(), Refusal> {
        let decision = decide(instance, attempts, failure);
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

    /// Finds an upstream with the configured weights or, where no engine holds
    /// them yet, with others. Tokens of two versions are never mixed.
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
        // Where no other upstream is there, one that failed is tried again.
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

    /// Ends the answer towards the caller.
    async fn finish(&self, exchange: &mut Exchange<'_>) -> Result<(), Refusal> {
        if !self.completion.stream {
            let body = self.assembly.document(&self.completion, &exchange.id);
            let res = responses::document(http::StatusCode::OK, body);
            exchange.respond(res).await;
            return Ok(());
        }
        let sent = exchange.conn.send("data: [DONE]\n\n".into()).await;
        if sent.is_err() || exchange.conn.finish().await.is_err() {
            exchange.instance.metrics.count(Event::CallerLeft);
        }
        Ok(())
    }

    /// Returns the tokens that the team is charged.
    fn used(&self, ran: Execution) -> Tokens {
        if let Some(usage) = self.assembly.usage() {
            return Tokens(usage.prompt_tokens + self.progress.forwarded());
        }
        if ran == Execution::NotRun && self.progress.forwarded() == 0 && self.last_token.is_none() {
            return Tokens::ZERO;
        }
        self.completion.prompt_tokens() + Tokens(self.progress.forwarded())
    }

    fn charge(&self, instance: &Instance, used: Tokens) {
        let now = instance.now();
        let mut board = instance.board.borrow_mut();
        let team = &self.caller.team;
        let weight = board.store.team(team).map_or(1, |t| t.weight);
        board.usage.charge(team, weight, used, now);
    }
}

/// Counts a request towards the budget of retries.
pub(super) fn deposit(instance: &Instance) {
    let mut board = instance.board.borrow_mut();
    let percent = board.policy().retry_percent;
    board.budget.record_request(percent);
}

/// Returns what follows a failed attempt.
pub(super) fn decide(
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

/// Returns a refusal that is true for the attempts before it as well.
pub(super) fn after_attempts(mut refusal: Refusal, attempts: &Attempts) -> Refusal {
    if attempts.execution() == Execution::Unknown {
        refusal.ran = Execution::Unknown;
    }
    refusal
}
