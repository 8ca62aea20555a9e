//! News that an instance repeats to others.

/// The number of reports in which an instance repeats its news, as datagrams may get lost.
const REPEATS: u32 = 4;

/// The largest number of crashes, and of answers, that wait to be reported.
pub const MAX_NEWS: usize = 128;

/// News that is sent a few times.
#[derive(Debug)]
pub struct News<T> {
    pub item: T,
    left: u32,
}

impl<T> News<T> {
    pub const fn new(item: T) -> Self {
        Self {
            item,
            left: REPEATS,
        }
    }
}

/// Returns the next news of a kind, and drops those that were repeated often enough.
pub fn take_news<T: Clone>(news: &mut Vec<News<T>>, max: usize) -> Vec<T> {
    let due = news.iter_mut().take(max);
    let items = due.map(|news| {
        news.left -= 1;
        news.item.clone()
    });
    let items = items.collect();
    news.retain(|news| news.left > 0);
    items
}
