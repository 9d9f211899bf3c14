use super::*;

const MAX_GAP: Duration = Duration::from_millis(360);
const TICK: Duration = Duration::from_millis(120);

/// A process with both clocks, which observes itself.
struct Process {
    pauses: Pauses,
    start: Instant,
    now: Instant,
    boot: BootTime,
}

impl Process {
    fn start() -> Process {
        let (start, boot) = (Instant::now(), BootTime(Duration::from_secs(9000)));
        Process { pauses: Pauses::new(MAX_GAP, start, boot), start, now: start, boot }
    }

    fn observe(&mut self) -> Option<Pause> {
        self.pauses.observe(self.now, self.boot)
    }

    /// Lets time pass that both clocks count.
    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.boot.0 += time;
    }

    /// Lets time pass that only the boot time counts.
    fn suspend(&mut self, time: Duration) {
        self.boot.0 += time;
    }

    /// Observes at each interval for a while, and returns the pauses that were found.
    fn run(&mut self, time: Duration, interval: Duration) -> Vec<Pause> {
        let end = self.now + time;
        let mut found = Vec::new();
        while self.now < end {
            self.pass(interval);
            found.extend(self.observe());
        }
        found
    }

    /// How long ago something can have happened that is learned now.
    fn age(&self, known_until: Instant) -> Duration {
        self.now - self.pauses.learned_since(known_until, self.now)
    }
}

/// Weights counted as named up to the waiting time of a watch too early, and were required before
/// endpoints had loaded them.
#[test]
fn what_a_running_process_learns_happened_when_it_is_learned() {
    let mut process = Process::start();
    assert_eq!(process.run(Duration::from_secs(3), TICK), []);
    assert_eq!(process.age(process.start), Duration::ZERO);
}

#[test]
fn a_slow_process_is_not_paused() {
    let mut process = Process::start();
    assert_eq!(process.run(Duration::from_secs(9), MAX_GAP), []);
    assert_eq!(process.age(process.start), Duration::ZERO);
}

/// A freeze that began before the first tick was not noticed.
#[test]
fn a_freeze_right_after_the_start_is_a_pause() {
    let mut process = Process::start();
    process.pass(Duration::from_secs(1));
    assert!(process.observe().is_some());
    assert_eq!(process.age(process.start), Duration::from_secs(1));
}

/// A gateway that was frozen while weights were named counted their bound from its return.
#[test]
fn what_is_learned_after_a_freeze_may_have_happened_at_its_beginning() {
    let mut process = Process::start();
    process.run(Duration::from_secs(1), TICK);
    let frozen_at = process.now;
    let frozen = Duration::from_secs(2);
    process.pass(frozen);
    assert_eq!(process.observe().map(|pause| pause.length), Some(frozen));
    assert_eq!(process.observe(), None, "reported once");
    assert_eq!(process.age(process.start), frozen);
    // It stays so until something newer is known.
    process.run(Duration::from_secs(1), TICK);
    assert_eq!(process.age(process.start), process.now - frozen_at);
    let within = frozen_at + frozen / 2;
    assert_eq!(process.age(within), process.now - within);
    assert_eq!(process.age(frozen_at + frozen), Duration::ZERO);
}

#[test]
fn of_several_freezes_the_first_one_after_the_last_knowledge_counts() {
    let mut process = Process::start();
    let mut returns = Vec::new();
    for _ in 0..2 {
        process.run(Duration::from_secs(1), TICK);
        process.pass(Duration::from_secs(1));
        process.observe();
        returns.push(process.now);
    }
    let since = |known_until| process.pauses.learned_since(known_until, process.now);
    assert_eq!(since(process.start), returns[0] - Duration::from_secs(1));
    assert_eq!(since(returns[0]), returns[1] - Duration::from_secs(1));
    assert_eq!(since(returns[1]), process.now);
}

#[test]
fn a_suspension_that_only_the_boot_time_counts_is_a_pause() {
    let mut process = Process::start();
    process.suspend(Duration::from_secs(2));
    process.pass(TICK);
    let pause = process.observe().unwrap();
    assert_eq!(pause.length, Duration::from_secs(2) + TICK);
    assert_eq!(pause.uncounted, Duration::from_secs(2));
    assert_eq!(process.age(pause.corrected(process.start)), pause.length);
}

/// Weights named before a suspension were required later by its length, after their bound.
#[test]
fn a_time_before_a_suspension_is_as_long_ago_as_the_boot_time_says() {
    let mut process = Process::start();
    let mut read = Vec::new();
    for suspended in [Duration::ZERO, Duration::from_secs(2), Duration::from_secs(3)] {
        read.push((process.now, process.boot));
        process.run(Duration::from_secs(1), TICK);
        process.suspend(suspended);
        process.pass(TICK);
        process.observe();
        read.push((process.now, process.boot));
        process.run(Duration::from_millis(500), TICK);
    }
    for (at, boot) in read {
        let age = process.now - process.pauses.corrected(at);
        assert_eq!(age, process.boot.0 - boot.0);
    }
}

#[test]
fn a_freeze_that_the_clock_counted_corrects_nothing() {
    let mut process = Process::start();
    process.pass(Duration::from_secs(2));
    let pause = process.observe().unwrap();
    assert_eq!(pause.corrected(process.start), process.start);
    assert_eq!(process.pauses.corrected(process.start), process.start);
}

#[test]
fn what_is_learned_after_two_suspensions_may_have_happened_in_the_first_one() {
    let mut process = Process::start();
    let mut known_until = process.start;
    for _ in 0..2 {
        process.suspend(Duration::from_secs(2));
        process.pass(TICK);
        known_until = process.observe().unwrap().corrected(known_until);
    }
    assert_eq!(process.age(known_until), (Duration::from_secs(2) + TICK) * 2);
    let between = process.pauses.corrected(process.start + TICK);
    assert_eq!(process.age(between), Duration::from_secs(2) + TICK);
}

#[test]
fn the_boot_time_of_this_machine_goes_forward() {
    let before = BootTime::now();
    assert!(BootTime::now() >= before);
    assert!(before > BootTime(Duration::ZERO));
}

#[test]
fn a_pause_before_the_last_knowledge_does_not_count_after_a_suspension() {
    let mut process = Process::start();
    process.pass(Duration::from_secs(1));
    process.observe();
    process.run(Duration::from_secs(1), TICK);
    let known_until = process.now;
    process.run(Duration::from_secs(1), TICK);
    process.suspend(Duration::from_secs(3));
    process.pass(TICK);
    let known_until = process.observe().unwrap().corrected(known_until);
    assert_eq!(process.age(known_until), Duration::from_secs(3) + TICK);
}
