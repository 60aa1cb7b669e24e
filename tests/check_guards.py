"""Removes one guard of the pooler role at a time, in a copy, and prints which tests fail.

Tests that `KNOWN-RED.txt` lists fail anyway and do not count.

Run manually: `python tests/check_guards.py`. A guard whose removal no test detects is printed as
MISSED, and the exit code is then 1.
"""

import re
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[1]
# Seconds after which a run counts as failed: without a guard, a test may loop forever.
RUN_LIMIT_S = 180


@dataclass(frozen=True)
class Guard:
    """An edit of the sources that removes one guard.

    Attributes:
        module: Module under `src/cassiaseam`.
        text: Text to replace, which occurs exactly once.
        without: Text without the guard.
        also: Guard that is removed together with this one, or None.
    """

    module: str
    text: str
    without: str
    also: 'Guard | None' = None


GUARDS = [
    Guard(
        'pooler/quotas/shares.py',
        'return bool(share.nonce) and now <= share.valid_until',
        'return bool(share.nonce)',
    ),
    Guard(
        'pooler/quotas/shares.py',
        'level = capacity if share.starts_full else 0',
        'level = capacity',
    ),
    Guard(
        'pooler/quotas/tokens.py',
        'if is_fresh(state.quotas, tokens, job.token, now):',
        'if True:',
    ),
    Guard(
        'pooler/quotas/shares.py',
        'return now - unchanged_since > LEASE_TAKEOVER_S',
        'return True',
    ),
    Guard('pooler/quotas/shares.py', ' and store.era <= FIRST_ERA', ''),
    Guard(
        'pooler/quotas/shares.py',
        'record is None or record.era != store.era',
        'record is None',
    ),
    Guard('pooler/quotas/shares.py', 'LEASE_TAKEOVER_S = 12.5', 'LEASE_TAKEOVER_S = 2.0'),
    Guard('pooler/quotas/leasing.py', 'get_era(event.revision) != event.record.era', 'False'),
    Guard(
        'pooler/quotas/responses.py',
        'quotas.requests.pop(event.nonce, None)',
        'quotas.requests.get(event.nonce)',
    ),
    Guard('pooler/quotas/responses.py', 'Token(request.sent_at,', 'Token(now,'),
    Guard(
        'pooler/quotas/leasing.py',
        'valid_until = event.sent_at + shares.',
        'valid_until = now + shares.',
    ),
    Guard(
        'pooler/clock.py', 'seconds = staticmethod(read_clock)', 'seconds = EPollReactor.seconds'
    ),
    Guard('pooler/quorum.py', 'RESTART_DISTRUST_S = 4.0', 'RESTART_DISTRUST_S = 0.0'),
    Guard('pooler/quorum.py', 'SHRINK_DELAY_S = 10.0', 'SHRINK_DELAY_S = 0.0'),
    Guard('pooler/quorum.py', 'return size - majority + 1', 'return 1'),
    Guard('pooler/quorum.py', ', len(known) - certain)', ')'),
    Guard('pooler/quorum.py', 'now - target.joined_at > SHRINK_DELAY_S', 'True'),
    Guard(
        'pooler/quorum.py',
        'if target.record.leaving or target.missing_since is not None:',
        'if target.record.leaving:',
    ),
    Guard(
        'pooler/quorum.py',
        'if target.record.leaving or target.missing_since is not None:',
        'if target.missing_since is not None:',
    ),
    Guard('pooler/discovery.py', 'fresh.joined_at = target.joined_at', 'pass'),
    Guard(
        'pooler/discovery.py',
        'if state.targets_known and not group.floor and not record.leaving:',
        'if True:',
    ),
    Guard('pooler/quorum.py', 'if recorded else 0', 'if False else 0'),
    Guard(
        'pooler/quorum.py',
        'view.status is not None and started_at < view.status_started_at',
        'False',
    ),
    Guard(
        'pooler/quorum.py',
        'max(reported.fenced_term, target.history.term)',
        'reported.fenced_term',
    ),
    Guard('pooler/quorum.py', 'target.history.term)', 'reported.term)'),
    Guard(
        'pooler/quorum.py',
        'excluded = list_bound_targets(group, position.term, now)',
        'excluded = []',
    ),
    Guard(
        'pooler/quorum.py',
        'excluded = list_bound_targets(group, monitor.term, now)',
        'excluded = []',
    ),
    Guard('pooler/quorum.py', 'monitor.term < find_promised_term(group, now)', 'False'),
    Guard('pooler/quorum.py', 'position.term < find_promised_term(group, now)', 'False'),
    Guard('pooler/quorum.py', 'return group.monitor.known_term > term', 'return False'),
    Guard('pooler/quorum.py', 'if other.fence.term <= used_term:', 'if False:'),
    Guard('pooler/quorum.py', 'return max(used_term, pending.term) if', 'return used_term if'),
    Guard(
        'pooler/notices/decisions.py',
        'event.fencing_token <= pending.fencing_token',
        'event.fencing_token < pending.fencing_token',
    ),
    Guard(
        'pooler/notices/decisions.py',
        'event.fencing_token < known.fencing_token',
        'False',
    ),
    Guard('pooler/evidence/fence_history.py', ' or fence.has_ended:', ':'),
    Guard('pooler/evidence/fence_history.py', 'if is_being_lifted(fence', 'if False and (fence'),
    Guard('pooler/discovery.py', 'fresh.fence = target.fence', 'pass'),
    Guard('pooler/failover.py', 'promotion.fenced_positions.pop(name, None) is not None', 'False'),
    Guard(
        'pooler/quorum.py',
        'if group.floor:\n        count += group.floor - staying',
        'if False:\n        count = 0',
    ),
    Guard(
        'pooler/sending.py',
        'session.transaction is not None or not operation.is_write',
        'not operation.is_write',
    ),
    Guard('pooler/replies.py', ' and job.sent_at >= group.primary_adopted_at', ''),
    Guard('pooler/replies.py', ' and job.command.floor == commit', ''),
    Guard('pooler/quorum.py', 'return operation.sent_term == group.monitor.term and ', 'return '),
    Guard('pooler/quorum.py', ', in_term=True', ''),
    Guard('pooler/replies.py', 'if reply.position is None:', 'if False:'),
    Guard(
        'pooler/evidence/log_loss.py', 'elif reported.last < history.last and', 'elif False and'
    ),
    Guard('pooler/evidence/log_loss.py', 'elif started_at < history.answered_at:', 'elif False:'),
    Guard('pooler/evidence/log_loss.py', ' and view.status_started_at >= history.lost_at', ''),
    Guard('pooler/evidence/log_loss.py', ' and not may_be_rolled_back(history, reported)', ''),
    Guard('pooler/evidence/log_loss.py', 'not blank or ', 'True or '),
    Guard('pooler/evidence/log_loss.py', 'group.size % 2 == 0 or ', ''),
    Guard('pooler/discovery.py', 'fresh.history = target.history', 'pass'),
    Guard(
        'pooler/discovery.py', 'MISSING_TARGET_TIMEOUT_S = 5.0', 'MISSING_TARGET_TIMEOUT_S = 0.0'
    ),
    Guard('pooler/sampling.py', 'needed += log_loss.count_lost_logs(group)', 'pass'),
    Guard('pooler/sampling.py', ' // 2, 1) + log_loss.count_lost_logs(group)', ' // 2, 1)'),
    Guard(
        'pooler/failover.py',
        'log_loss.counts_as_evidence(\n        group, name, reply.status\n    )',
        'True',
    ),
    Guard('pooler/detection.py', 'if log_loss.has_lost_log(target):', 'if False:'),
    Guard('pooler/sessions.py', ' and state.sizes.known', ''),
    Guard('pooler/failover.py', 'state.sizes.known and ', ''),
    Guard('pooler/discovery.py', 'state.sizes.differing.clear()', 'pass'),
    Guard(
        'pooler/group_size_sync.py', 'SHRINK_RECORD_DELAY_S = 60.0', 'SHRINK_RECORD_DELAY_S = 0.0'
    ),
    Guard(
        'pooler/group_size_sync.py',
        'record.revision >= sizes.find_record(record.group).revision',
        'True',
    ),
    Guard('pooler/group_size_sync.py', 'not is_recorded(state, name, count) and ', ''),
    Guard('pooler/discovery.py', 'event.config.version <= state.config.version', 'False'),
    Guard('pooler/duty.py', 'now - lease.claimed_at <= LEASE_VALIDITY_S', 'True'),
    Guard(
        'pooler/duty.py',
        'if has_call_in_flight(state, now):\n        return []\n    if lease',
        'if lease',
    ),
    Guard('pooler/duty.py', 'REACQUIRE_DELAY_S = 3.0', 'REACQUIRE_DELAY_S = 0.0'),
    Guard('pooler/duty.py', 'now - state.lease.claimed_at > LEASE_VALIDITY_S', 'False'),
    Guard('pooler/duty.py', 'now < lease.call_may_arrive_until or ', ''),
    Guard(
        'pooler/duty.py',
        "record.nonce.startswith(f'{process_id}-')",
        'record.holder == state.vm',
    ),
    Guard('pooler/failover.py', 'promotion.stage in LEASE_STAGES and ', 'False and '),
    Guard(
        'pooler/failover.py',
        'fencing.cancel_unsent_commands(group)\n    promotion.token = 0',
        'promotion.token = 0',
    ),
    Guard('pooler/duty.py', ' or lease.fences_lifted', ''),
    Guard('pooler/duty.py', 'now - lease.claimed_at <= FENCE_LIFT_WINDOW_S', 'True'),
    Guard('pooler/quorum.py', 'group.promotion.fenced_positions.pop(name, None)', 'pass'),
    Guard('pooler/candidates.py', ' and target.missing_since is None', ''),
    Guard('httpio.py', 'if not may_send():', 'if False:'),
    Guard('pooler/runtime.py', 'may_send=lambda: node.clock() <= effect.send_by', 'may_send=bool'),
    Guard(
        'httpio.py',
        'written = protocol.transport.writeSomeData(encoded)',
        'written = protocol.transport.write(encoded) or len(encoded)',
    ),
    Guard('platform/store.py', '*self.address, PROMOTION_TCP_USER_TIMEOUT_MS)', '*self.address)'),
    # Either of these two guards protects the transaction of another caller from a COMMIT with an
    # unknown outcome.
    Guard(
        'pooler/completion.py',
        'connection is None or connection.pinned_to != session.session_id',
        'connection is None',
        also=Guard(
            'pooler/replies.py',
            'transaction.connection_id = completion.RELEASED_CONNECTION_ID',
            'transaction.confirmed = True',
        ),
    ),
    Guard('pooler/admission/placement.py', 'SHIFT_EXPONENT = 4', 'SHIFT_EXPONENT = 400'),
    Guard('pooler/admission/placement.py', 'REPORT_WEIGHT = 0.3', 'REPORT_WEIGHT = 1.0'),
    Guard('pooler/admission/placement.py', 'time_s += PRIMARY_COST_S + queueing_s', 'pass'),
    Guard(
        'pooler/admission/placement.py',
        'or any(not is_busy(target, now) for target in candidates)',
        'or False',
    ),
    Guard('pooler/admission/placement.py', 'if not is_busy(it, now)] or candidates', '] or []'),
    Guard(
        'pooler/admission/target_load.py',
        'and now - load.reported_at < MAX_REPORT_AGE_S',
        '',
    ),
    Guard('pooler/admission/target_load.py', ' / EVIDENCE_DECAY_S)', ' / 1e9)'),
    Guard('pooler/admission/target_load.py', 'and at < load.reported_at', 'and False'),
    Guard('pooler/admission/target_load.py', 'if operation.needs_primary:', 'if False:'),
    Guard('pooler/admission/target_load.py', 'record(target, 0, 1, 0, now)', 'pass'),
    Guard(
        'pooler/sample_sharing.py',
        'target_load.merge_request(group, event.loads, now)',
        'pass',
    ),
    Guard(
        'pooler/sample_sharing.py',
        'target_load.merge_response(group, event.loads, now)',
        'pass',
    ),
    Guard(
        'pooler/datagrams.py',
        '{name for name, content in optional.items() if not content}',
        'None',
    ),
    Guard('pooler/admission/retries.py', 'budget.tokens >= 1 and ', ''),
    Guard(
        'pooler/admission/retries.py',
        'min(budget.tokens + RETRY_SHARE, RETRY_RESERVE)',
        'budget.tokens',
    ),
    Guard('pooler/admission/retries.py', 'if operation.may_have_run else', 'if False else'),
    Guard('pooler/admission/retries.py', 'min(mean_s, left_s / 2)', 'mean_s'),
    Guard('pooler/admission/retries.py', '(0.5 + state.rng.random())', '1'),
    Guard('pooler/sample_sharing.py', 'event.group_size < group.size', 'False'),
    Guard('pooler/sample_sharing.py', 'sample_request.nonce != event.nonce', 'False'),
    Guard('pooler/sample_sharing.py', 'sample_request.sent_at - aged.age_s', 'now - aged.age_s'),
    Guard(
        'pooler/store_watcher.py',
        'newer_changes = select_newer_changes(listing.changes, revision)',
        'newer_changes = listing.changes',
    ),
    Guard('pooler/ticks.py', 'except Exception:', 'except ZeroDivisionError:'),
    # Pacing and admission.
    Guard('pooler/pacing/pace.py', 'if sent_at < pace.cut_at:', 'if False:'),
    Guard('pooler/pacing/pace.py', 'is_warm or pace.stage is Stage.CUT', 'is_warm'),
    Guard(
        'pooler/pacing/pace.py',
        'elif pace.stage is Stage.WARMING and not is_cautious:',
        'elif pace.stage is Stage.WARMING and False:',
    ),
    Guard('pooler/pacing/concurrency.py', 'return max(limit, 1)', 'return limit - 1'),
    Guard(
        'pooler/pacing/concurrency.py',
        ' and (job.sent_at is None or job.sent_at > oldest)',
        '',
    ),
    Guard(
        'pooler/pacing/concurrency.py',
        'if is_warm_up and not has_warm_alternative(state, target):',
        'if False:',
    ),
    Guard(
        'pooler/pacing/concurrency.py',
        'if is_silent or target.unreachable_since is not None:',
        'if False:',
    ),
    Guard(
        'pooler/pacing/concurrency.py', 'if group.monitor.term > pace.primary_term:', 'if False:'
    ),
    Guard(
        'pooler/pacing/concurrency.py', 'if not is_paced(state) or job.purpose', 'if job.purpose'
    ),
    Guard('pooler/runtime.py', 'if self.settings.admission is not None:', 'if False:'),
    Guard('pooler/admission/ordering.py', '+ waiting[turn]', '+ 0'),
    Guard(
        'pooler/admission/ordering.py', 'if not is_adaptive(state) or len(jobs)', 'if len(jobs)'
    ),
    Guard('pooler/admission/shedding.py', 'operation.attempts == 0 and ', ''),
    Guard(
        'pooler/admission/shedding.py',
        'max(since, now - MAX_ANSWER_AGE_S)',
        'now - MAX_ANSWER_AGE_S',
    ),
    Guard(
        'pooler/admission/shedding.py',
        'can_serve(target, job.operation, ahead, now)',
        'can_serve(target, job.operation, len(jobs), now)',
    ),
    Guard(
        'pooler/admission/shedding.py',
        'if operation.done or session is None or session.transaction is not None:',
        'if operation.done or session is None:',
    ),
    # Restores of the store.
    Guard(
        'platform/store.py',
        'if era < self.era:\n            raise',
        'if False:\n            raise',
    ),
    Guard('platform/store.py', 'if len(eras) > 1:', 'if False:'),
    Guard('platform/store.py', 'while after not in asked:', 'while True:'),
    Guard('platform/store.py', 'if not revision:', 'if False:'),
    Guard(
        'platform/store.py',
        'WriteOutcome.WRITTEN if written else WriteOutcome.UNKNOWN',
        'WriteOutcome.WRITTEN',
    ),
    Guard('platform/store_answers.py', 'if not isinstance(has_more, bool):', 'if False:'),
    Guard('platform/store_answers.py', ' and bool(encode_text(name))', ''),
    Guard('platform/store_answers.py', ' and 0 <= given < 1 << NUMBER_BITS', ''),
    Guard(
        'platform/json_parts.py',
        'except (ValueError, RecursionError) as error:\n        reason',
        'except ValueError as error:\n        reason',
    ),
    Guard(
        'platform/json_parts.py', 'if not _ESCAPED_BYTE.search(self.text, start, end):', 'if True:'
    ),
    Guard('platform/json_parts.py', 'max(levels, split)', 'levels'),
    Guard('platform/records.py', 'if not -MAX_NUMBER <= given <= MAX_NUMBER:', 'if False:'),
    Guard(
        'platform/records.py',
        'if not is_word_of_lines(name) or not is_word_of_lines(document.service):',
        'if False:',
    ),
    Guard('platform/line_protocol.py', ' and len(word) <= MAX_DIGITS', ''),
    Guard('platform/targets.py', 'if len(line) > line_protocol.MAX_MESSAGE_BYTES:', 'if False:'),
    Guard('pooler/datagrams.py', '(OSError, OverflowError, InvalidAddressError)', 'OSError'),
    Guard('pooler/datagrams.py', ', le=MAX_NUMBER)]', ')]'),
    Guard('platform/records.py', " and '\"' not in name", ''),
    Guard('pooler/peers.py', 'min(peer.failures, MAX_DOUBLINGS)', 'peer.failures'),
    Guard(
        'pooler/quotas/store_client.py',
        'return SHARE_INDEXES.get(name)',
        'return int(name[6:])',
    ),
    Guard('observability/refusals.py', 'if known == cause:', 'if False:'),
    Guard('observability/refusals.py', 'len(self.causes) >= MAX_REFUSALS', 'False'),
    Guard(
        'platform/store.py',
        'if get_era(revision) != self.era:\n                #',
        'if False:\n #',
    ),
    Guard('platform/store.py', 'self._cancel_older_watches()', 'pass'),
    Guard('pooler/store_watcher.py', ' or get_era(reply.revision) != get_era(revision)', ''),
    Guard('pooler/store_era.py', 'state.first_revision = None', 'pass'),
    Guard('pooler/duty.py', 'record.era == get_store_era(state)', 'True'),
    Guard('pooler/duty.py', 'if get_era(token) != state.lease.era:', 'if False:'),
    Guard('pooler/group_size_sync.py', 'record.era == get_store_era(state)', 'True'),
    Guard(
        'pooler/group_size_sync.py',
        'if is_restored and not is_settled',
        'if False and not is_settled',
    ),
    Guard(
        'pooler/group_size_sync.py',
        'if not sizes.known and not is_settled',
        'if False and not is_settled',
    ),
    Guard(
        'pooler/group_size_sync.py',
        'max(recorded, group.floor) if keep_larger else recorded',
        'recorded',
    ),
    Guard(
        'pooler/group_size_sync.py', 'forget_lost_records(state, event)\n    for', 'pass\n    for'
    ),
    Guard('pooler/discovery.py', 'if is_restored and is_superseded', 'if False and is_superseded'),
    Guard(
        'pooler/discovery.py',
        'if state.departed.get(record.name) == record.incarnation:',
        'if False:',
    ),
    Guard('pooler/quorum.py', 'max(len(others) - excess, 0)', 'len(others) - excess'),
    Guard('pooler/sessions.py', ' if session.relayable else ()', ''),
    Guard(
        'pooler/relay/decisions.py',
        'group is None or group.majority_unreachable_since is None:\n        return ()',
        'group is None:\n        return ()',
    ),
    Guard('pooler/relay/decisions.py', 'if len(relay.outgoing) >= MAX_OUTGOING:\n', 'if False:\n'),
    Guard(
        'pooler/relay/decisions.py', "return 'full' if len(state", "return 'full' if 0 > len(state"
    ),
    Guard(
        'pooler/relay/decisions.py',
        'if group.majority_unreachable_since is not None or ',
        'if ',
    ),
    Guard('pooler/relay/decisions.py', '    if outstanding:\n        return False\n', ''),
    Guard(
        'pooler/relay/decisions.py',
        'if not is_relay_working(relay, group, now):\n        return default_s\n',
        'pass\n',
    ),
    Guard('pooler/relay/pipe.py', 'transport.registerProducer(other, True)', 'pass'),
    Guard('pooler/relay/decisions.py', 'if version != state.config.version:', 'if False:'),
    Guard('pooler/relay/service.py', ' or self.version == self.service.get_version():', ':'),
    Guard('pooler/relay/service.py', 'if self.pipe.is_idle():', 'if True:'),
    Guard('pooler/relay/pipe.py', 'not self.tracker.is_outstanding() and ', ''),
    Guard('pooler/relay/pipe.py', ' and not self.tracker.in_transaction', ''),
    Guard('pooler/relay/pipe.py', '        self.on_receive()\n', ''),
    Guard('pooler/relay/service.py', 'relay.close_if_outdated()', 'pass'),
    Guard(
        'pooler/relay/service.py',
        'decisions.find_answer_refusal(cause, self.version, in_force)',
        'cause',
    ),
    Guard(
        'pooler/relay/service.py',
        'decisions.find_answer_refusal(cause, effect.version, self.get_version())',
        'cause',
    ),
    Guard('pooler/relay/service.py', '            self.version = in_force\n', ''),
    Guard('pooler/relay/service.py', 'if connection is not None and (cause or', 'if (0 and'),
    Guard('pooler/relay/versions.py', 'state.relay.accepting_until.clear()', 'pass'),
    Guard('pooler/discovery.py', 'effects += versions.apply_version(state)', 'pass'),
    Guard(
        'pooler/relay/versions.py',
        'for session in list(state.sessions.values()):',
        'for session in []:',
    ),
    Guard(
        'pooler/relay/versions.py',
        'if session.state is not SessionState.IDLE or not sessions.is_relay_outdated',
        'if not sessions.is_relay_outdated',
    ),
    Guard(
        'pooler/relay/versions.py',
        'or session.waiting or session.state is not SessionState.IDLE',
        'or session.waiting',
    ),
    Guard('pooler/relay/versions.py', 'if session.current is not None or ', 'if '),
    Guard('pooler/relay/versions.py', 'session.current is not None or session.waiting or', ''),
    Guard(
        'pooler/operations.py',
        'versions.refuse_statement(state, session, event.statement)',
        'None',
    ),
    Guard('pooler/operations.py', ' + versions.end_if_idle(state, session)', ''),
    Guard(
        'pooler/sessions.py',
        'if is_relay_outdated(state, session):\n',
        'if False:\n',
    ),
    Guard('pooler/ticks.py', ' or sessions.is_relay_outdated(state, session):', ':'),
    Guard(
        'pooler/completion.py',
        ' + versions.end_if_idle(state, session)',
        '',
    ),
    Guard(
        'pooler/admission/headroom.py',
        'max(_find_step(HEADROOM_IDLE_TIMEOUT_STEPS, used_share), min(longest_s, reopening_s))',
        '_find_step(HEADROOM_IDLE_TIMEOUT_STEPS, used_share)',
    ),
    Guard(
        'pooler/targets.py',
        'if reply.position is not None and proves_lead(state, job, reply):',
        'if reply.position is not None and job.sent_at is not None:',
    ),
    Guard('pooler/targets.py', 'transaction is None or transaction.statement.read_only', 'False'),
    Guard('pooler/quorum.py', 'if has_lost_lead and name == group.monitor.primary:', 'if False:'),
    Guard('pooler/targets.py', 'if operation.done:\n', 'if False:\n'),
    Guard('pooler/quorum.py', 'if position.term > monitor.term:', 'if False:'),
    Guard('pooler/quorum.py', 'if known_size < group.size:', 'if False:'),
    Guard('pooler/quorum.py', 'if status is None or status.term:', 'if True:'),
    Guard(
        'pooler/evidence/log_loss.py',
        'if reported.last.offset and reported.last.term == reported.term:',
        'if True:',
    ),
    Guard(
        'pooler/evidence/log_loss.py',
        'reported.last.offset and reported.last.term',
        'reported.last.term',
    ),
    Guard(
        'pooler/evidence/log_loss.py',
        '            history.catch_up = None\n    elif started_at',
        '    elif started_at',
    ),
    Guard('pooler/sample_sharing.py', ' or log_loss.count_lost_logs(group) > 0', ''),
    Guard('pooler/sample_sharing.py', ' or log_loss.count_lost_logs(group):', ':'),
    Guard('pooler/connections.py', ' and not is_poll_late(target.status_job, now):', ':'),
    Guard('pooler/sampling.py', 'is_outside_term(group, name, since),', 'False,'),
    Guard('pooler/sampling.py', ' or poll_backoff.is_backing_off(target, now):', ':'),
    Guard(
        'pooler/sampling.py',
        'since),\n            poll_backoff.is_backing_off(group.targets[name], now),',
        'since),',
    ),
    Guard(
        'pooler/sample_sharing.py',
        'if is_connection_count_known(target, chosen[-1].started_at)',
        'if True',
    ),
    Guard(
        'pooler/sample_sharing.py',
        ' and not is_connection_count_known(target, known_at):',
        ':',
    ),
    Guard('pooler/connections.py', 'target.connections_known_at = now', 'pass'),
    Guard(
        'pooler/admission/poll_backoff.py',
        'min(max(LONGEST_BACKOFF_S, vms / MAX_POLLS_PER_S), LONGEST_SHARED_BACKOFF_S)',
        'LONGEST_BACKOFF_S',
    ),
    Guard(
        'pooler/admission/poll_backoff.py',
        'interval_s * (2 ** min(target.busy_polls, MAX_PROBE_DOUBLINGS) - 1)',
        '0',
    ),
    Guard('pooler/ticks.py', 'if poll_backoff.is_backing_off(target, now):', 'if False:'),
    Guard('pooler/ticks.py', 'sample_sharing.poll_for_waiters(state, group, now)', '[]'),
    Guard(
        'pooler/sample_sharing.py',
        'waiter.accepts_busy and are_targets_busy(group, waiter.since, now)',
        'False',
    ),
    Guard(
        'pooler/sample_sharing.py',
        'waiter.accepts_busy and are_targets_busy(group, waiter.since, now)',
        'are_targets_busy(group, waiter.since, now)',
    ),
    Guard(
        'pooler/sample_sharing.py',
        'return bool(busy) and len(busy.union(answered)) >= count_majority(group.monitor)',
        'return bool(busy)',
    ),
    Guard('pooler/sample_sharing.py', 'if sample_request.busy_until:', 'if False:'),
    Guard(
        'pooler/admission/poll_backoff.py',
        'return target.busy_polls > 0 and now < target.next_poll_at + BUSY_EVIDENCE_S',
        'return target.busy_polls > 0',
    ),
    Guard('pooler/relay/pipe.py', 'self.close(cause)', 'self.on_end()'),
    Guard('pooler/accounts/revocation.py', 'changed.setdefault(session.session_id, now)', 'pass'),
    Guard(
        'pooler/accounts/revocation.py',
        'if session.current is not None or session.waiting or session.state is not',
        'if session.state is not',
    ),
    Guard(
        'pooler/accounts/revocation.py',
        'return account is not None and ANONYMOUS in {account, session.account}',
        'return account is not None',
    ),
    Guard('pooler/accounts/revocation.py', 'connection.closing = True', 'pass'),
    Guard('pooler/accounts/grace.py', 'if now - since >= TRANSACTION_GRACE_S:', 'if False:'),
    Guard(
        'pooler/accounts/grace.py',
        'operations.is_sent(operation) and (transaction is None or commits)',
        'False',
    ),
    Guard(
        'pooler/accounts/grace.py',
        'session.transaction.connection_id = completion.RELEASED_CONNECTION_ID',
        'pass',
    ),
    Guard('pooler/accounts/identity.py', 'config.accounts is None or ', 'True or '),
    Guard(
        'pooler/accounts/decoding.py',
        "if owner != document.name:\n            return 'a key belongs to an earlier account too'",
        'pass',
    ),
    Guard('pooler/accounts/decoding.py', " and name.isprintable() and ' ' not in name", ''),
    Guard(
        'pooler/discovery.py',
        'config, kept = keep_accounts(state.config, event.config)',
        'config, kept = event.config, []',
    ),
    Guard(
        'pooler/sessions.py',
        'if state.config.accounts is None or find_route(state, session) is not None:',
        'if True:',
    ),
    Guard('pooler/sessions.py', "return 'no such database'", 'pass'),
    Guard('pooler/connections.py', 'connection.account == job.account', 'True'),
    Guard(
        'pooler/connections.py',
        'effects = hand_over_connections(state, target, now)',
        'effects = []',
    ),
    Guard('platform/store.py', 'lowest = min(', 'lowest = max('),
    Guard('pooler/object_revisions.py', 'change.revision < known:', 'False:'),
    Guard(
        'pooler/object_revisions.py',
        'max(self.position, known, self.find_page_revision(change.name))',
        'self.position',
    ),
    Guard('pooler/object_revisions.py', 'if is_ordered else ()', 'if True else ()'),
    Guard('pooler/store_watcher.py', 'if backoff_s > INITIAL_BACKOFF_S:', 'if False:'),
    Guard('pooler/operations.py', 'min(now + timeout_s, state.answer_by)', 'now + timeout_s'),
    Guard('pooler/operations.py', 'if now >= state.answer_by:', 'if False:'),
    Guard('pooler/ticks.py', 'min(operation.deadline, state.answer_by)', 'operation.deadline'),
    Guard('pooler/relay/service.py', 'pipe.answer_outstanding(relay.session_id)', 'pass'),
    Guard('pooler/relay/pipe.py', 'if self.tracker.peer.head:', 'if False:'),
    Guard('pooler/accounts/pool.py', 'now - it.ready_at >= MIN_HOLD_S or not', 'True or not'),
    Guard('pooler/accounts/pool.py', 'rates[it.account] / max(held[it.account], 1),', '0,'),
    Guard(
        'pooler/accounts/full_targets.py',
        'effects += targets.fail_job',
        '# effects += targets.fail_job',
    ),
    Guard(
        'platform/config_check/report.py',
        "is_own = problem['type'] == 'value_error'",
        'is_own = False',
    ),
    Guard(
        'platform/config_check/report.py',
        'if isinstance(decoded, Err) and not CheckReport(tuple(findings)).has_errors:',
        'if False:',
    ),
]


def remove_guard(copy: Path, guard: Guard) -> None:
    """Remove a guard from a copy of the sources.

    Raises:
        SystemExit: The text of the guard is not found exactly once.
    """
    module = copy / 'src' / 'cassiaseam' / guard.module
    source_text = module.read_text()
    if source_text.count(guard.text) != 1:
        raise SystemExit(f'{guard.module}: {guard.text!r} does not occur once')
    module.write_text(source_text.replace(guard.text, guard.without))
    if guard.also is not None:
        remove_guard(copy, guard.also)


def list_failures(guard: Guard) -> list[str] | None:
    """Return the tests that fail without a guard, or None when the run timed out."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in ('src', 'tests', 'deploy', 'pyproject.toml'):
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name, ignore=shutil.ignore_patterns('__pycache__'))
            else:
                shutil.copy(source, copy / name)
        remove_guard(copy, guard)
        command = [sys.executable, '-m', 'pytest', '-q', '-p', 'no:cacheprovider']
        try:
            ended = subprocess.run(
                [*command, 'tests/pooler', 'tests/platform', 'tests/daemon/test_pooler_timers.py'],
                cwd=copy,
                env={'PYTHONPATH': 'src', 'PATH': '/usr/bin:/bin'},
                capture_output=True,
                text=True,
                timeout=RUN_LIMIT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return None
    failed = [line.split()[1] for line in ended.stdout.splitlines() if line.startswith('FAILED')]
    known = list_known_red()
    return [name for name in failed if name not in known]


def list_known_red() -> set[str]:
    """Return the tests of `KNOWN-RED.txt` by the names that pytest prints."""
    listed = re.findall(
        r'^test: (\S+)::(.+?)\s*$', (ROOT / 'KNOWN-RED.txt').read_text(), re.MULTILINE
    )
    return {f'{module.replace(".", "/")}.py::{test}' for module, test in listed}


def main() -> int:
    """Check all guards, or those whose text contains one of the arguments."""
    missed = 0
    for guard in GUARDS:
        if len(sys.argv) > 1 and not any(word in guard.text for word in sys.argv[1:]):
            continue
        failed = list_failures(guard)
        missed += failed == []
        noticed = 'no end' if failed is None else ', '.join(failed) or 'MISSED'
        print(f'{guard.module}: {guard.text!r}: {noticed}', flush=True)
    return int(missed > 0)


if __name__ == '__main__':
    sys.exit(main())
