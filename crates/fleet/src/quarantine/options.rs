//! Options of a quarantine.

use std::time::Duration;

/// Options for when a part is withheld, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuarantineOptions {
    /// The requests with a part beside which engines must have ended, at as many moments.
    pub min_requests: usize,
    /// The natural logarithm of how much likelier the crashes must be if a part causes them
    /// than if it was only caught in them.
    pub min_log_likelihood: f64,
    /// The number of requests from which on the lower threshold applies to a part without
    /// responses, if it ends engines that have begun to answer or was present at all crashes.
    pub many_requests: usize,
    /// That smaller logarithm.
    pub min_log_likelihood_of_many: f64,
    /// The most that the crashes of one moment can add, as prompts are alike in bursts.
    pub max_log_likelihood_of_moment: f64,
    /// The moments of crashes after which a prompt with the part is not sent again, if the
    /// engines had begun to answer on it.
    pub max_repeated_moments: usize,
    /// The same for a part on which the engines may not have begun to answer.
    pub max_repeated_moments_of_arrival: usize,
    /// The answers on other prompts that an instance must have got since the first crash to
    /// judge a part on which answers came well under way shortly before.
    pub min_others: usize,
    /// The logarithm of the improbability from which on the times after which engines end make up
    /// for such answers.
    pub min_regularity: f64,
    /// The logarithm of that improbability from which on it suffices by itself.
    pub sufficient_regularity: f64,
    /// The answers that all instances must have got for one to judge how rare a part is, that one
    /// must have got to rely on its own, and to record them for restarted instances.
    pub min_answers: usize,
    /// The time after which the record at the platform gets newer answers.
    pub sample_time: Duration,
    /// How many times the recorded answers an instance must have got to record its own earlier.
    pub sample_growth: usize,
    /// The time between two moments. Engines that end closer to each other probably have a
    /// common cause, such as a lost machine.
    pub moment: Duration,
    /// The time from the first crash to a decision, in which instances hear of each other's
    /// crashes.
    pub settle_time: Duration,
    /// The longest silence of a sound process: one that is suspected to have ended counts as ended
    /// afterwards.
    pub max_silence: Duration,
    /// The time after which an answer at any instance is known to all.
    pub report_time: Duration,
    /// For how long before the first crash with a part other crashes and answers on the part
    /// matter.
    pub answered_time: Duration,
    /// The time for which crashes are remembered.
    pub memory_time: Duration,
    /// The time without a prompt with the part after which it is released; the same for requests.
    pub release_time: Duration,
    /// When a request is withheld.
    pub requests: RequestOptions,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            min_requests: 3,
            min_log_likelihood: 11.5,
            many_requests: 5,
            min_log_likelihood_of_many: 8.0,
            max_log_likelihood_of_moment: 4.0,
            max_repeated_moments: 1,
            max_repeated_moments_of_arrival: 2,
            min_others: 8,
            min_regularity: 4.0,
            sufficient_regularity: 8.0,
            min_answers: 20,
            sample_time: Duration::from_mins(2),
            sample_growth: 2,
            moment: Duration::from_millis(50),
            settle_time: Duration::from_millis(400),
            max_silence: Duration::from_millis(1_200),
            report_time: Duration::from_millis(600),
            answered_time: Duration::from_secs(10),
            memory_time: Duration::from_mins(10),
            release_time: Duration::from_hours(1),
            requests: RequestOptions::default(),
        }
    }
}

/// Options for when a request is withheld that comes again with the same content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestOptions {
    /// The processes that must have ended under a request that was not answered before.
    pub min_crashes: usize,
    /// The ends that must have come one after the other for a request that was answered before.
    pub min_crashes_of_answered: usize,
    /// The least time from the first to the last of these.
    pub min_span_of_answered: Duration,
    /// The ends after which a request is not sent again within its own attempts.
    pub max_repeated_crashes: usize,
    /// For how long before the first end answers matter.
    pub answered_time: Duration,
    /// The time from which on a withheld request is tried once, for each trial.
    pub trial_times: [Duration; 2],
    /// The time after which twice as many instances may try it.
    pub trial_interval: Duration,
}

impl Default for RequestOptions {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            min_crashes_of_answered: 5,
            min_span_of_answered: Duration::from_secs(2),
            max_repeated_crashes: 1,
            answered_time: Duration::from_mins(1),
            trial_times: [Duration::from_mins(1), Duration::from_mins(10)],
            trial_interval: Duration::from_secs(10),
        }
    }
}
