"""Latency histograms and counters of one run."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
USEFUL_LATENCY_S = 1.0


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Recorder:
    """Latencies and outcomes of one run.

    Latencies count from the due time of a request, which avoids coordinated omission: a stalled
    system is measured as often as a fast one.

    Attributes:
        reads: Latency of answered reads in microseconds.
        writes: Latency of acknowledged writes in microseconds.
        refusals: Latency of errors in microseconds, from sending the request to the error.
        outcomes: Number of requests per outcome, 'ok' or the error kind.
        useful_at_s: Times in seconds of answers within `USEFUL_LATENCY_S` of their due time.
        replica_reads: Number of sampled reads that a replica served.
        sampled_reads: Number of reads for which the kind of the serving target is known.
        write_acks_s: Times in seconds of acknowledged writes, from which write gaps are computed.
        unfinished: Number of requests without any answer.
    """

    reads: HdrHistogram = field(default_factory=make_histogram)
    writes: HdrHistogram = field(default_factory=make_histogram)
    refusals: HdrHistogram = field(default_factory=make_histogram)
    outcomes: Counter[str] = field(default_factory=Counter)
    useful_at_s: list[float] = field(default_factory=list)
    replica_reads: int = 0
    sampled_reads: int = 0
    write_acks_s: list[float] = field(default_factory=list)
    unfinished: int = 0

    def record_answer(self, is_read: bool, due_s: float, now_s: float) -> None:
        """Record a successful answer."""
        histogram = self.reads if is_read else self.writes
        latency_s = max(0, now_s - due_s)
        histogram.record_value(max(LOWEST_US, int(latency_s * 1e6)))
        self.outcomes['ok'] += 1
        if latency_s <= USEFUL_LATENCY_S:
            self.useful_at_s.append(now_s)
        if not is_read:
            self.write_acks_s.append(now_s)

    def record_refusal(self, kind: str, sent_s: float, now_s: float) -> None:
        """Record an error."""
        self.outcomes[kind] += 1
        self.refusals.record_value(max(LOWEST_US, int((now_s - sent_s) * 1e6)))

    def record_sampled_target(self, replica: bool) -> None:
        """Record whether a replica served a sampled read."""
        self.sampled_reads += 1
        self.replica_reads += int(replica)

    def count_useful(self, since_s: float, until_s: float) -> int:
        """Return the number of useful answers that arrived in a window.

        To compute a rate, end the window when the last request is due: later answers come from a
        queue that is only drained.
        """
        return sum(since_s <= at_s <= until_s for at_s in self.useful_at_s)

    def find_longest_write_gap_s(self, since_s: float, until_s: float) -> float:
        """Return the longest time in seconds without an acknowledged write within a window."""
        inside = [ack for ack in sorted(self.write_acks_s) if since_s <= ack <= until_s]
        marks = [since_s, *inside, until_s]
        return max(later - earlier for earlier, later in zip(marks, marks[1:], strict=False))


def read_percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds."""
    return histogram.get_value_at_percentile(percentile) / 1000
