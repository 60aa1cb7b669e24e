"""Metrics of the quotas in the Prometheus text format."""

from cassiaseam.observability.labels import quote_label
from cassiaseam.pooler.quotas.quota_state import QuotaState


def render_quota_metrics(quotas: QuotaState | None) -> list[str]:
    """Return the lines of the metrics, or none on a deployment without quotas."""
    if quotas is None:
        return []
    held = sum(bool(share.nonce) for share in quotas.shares)
    lines = [
        f'cassiaseam_quota_shares_held {held}',
        f'cassiaseam_quota_tokens_spent_total {quotas.spent}',
        f'cassiaseam_quota_requests_sent_total {quotas.requests_sent}',
    ]
    for account, count in sorted(quotas.refused.items()):
        # JSON escapes what would end the value of a label.
        name = quote_label(account)
        lines.append(f'cassiaseam_quota_refused_total{{account={name}}} {count}')
    return lines
