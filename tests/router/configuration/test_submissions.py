"""A submission is committed once, or refused with the reason."""

from pathlib import Path

import pytest

from tests.builders.configuration import (
    Cluster,
    Fault,
    with_write_id,
    submission,
)
from tests.builders.declarations import (
    intent_text,
    places_text,
    service_text,
)
from yuccadale_core.authority import SignedSubmission
from yuccadale_core.codes import ResultCode


@pytest.fixture
def cluster(tmp_path: Path) -> Cluster:
    """Returns a cluster with two operators and one instance."""
    new_cluster = Cluster(tmp_path / 'operators', ['ana', 'rui'])
    new_cluster.start('entry-1')
    return new_cluster


async def _submit(cluster: Cluster, *args: object, **fields: object):
    unsigned = submission(*args, **fields)
    return await cluster.service_by_name['entry-1'].submit(
        cluster.sign(unsigned)
    )


async def test_outdated_submission_gets_the_conflicting_revision(
    cluster: Cluster,
) -> None:
    """Guards against a refusal that does not name author, time and changes."""
    first = await _submit(cluster, 'intent', intent_text(1))
    assert first.ok.revision.revision == 1
    await _submit(
        cluster, 'intent', intent_text(2), base=1, write_id='w2', operator='rui'
    )
    outdated = await _submit(
        cluster, 'intent', intent_text(3), base=1, write_id='w3'
    )
    rejected = outdated.error
    assert rejected.refusal.code == ResultCode.base_revision_outdated
    assert 'rui submitted revision 2' in rejected.refusal.detail
    assert rejected.winner.submitted_at.startswith('2026-12-04')
    assert [(change.old, change.new) for change in rejected.changes] == [
        ('1', '2')
    ]


@pytest.mark.parametrize('fault', [Fault.lost, Fault.late])
async def test_repeated_submission_finds_its_own_outcome(
    cluster: Cluster, fault: Fault
) -> None:
    """Guards against a change that is applied twice or reported as refused."""
    cluster.platform.faults = [Fault.none, fault, Fault.unavailable]
    unsigned = submission('intent', intent_text(1))
    service = cluster.service_by_name['entry-1']
    first = await service.submit(cluster.sign(unsigned))
    assert first.error.refusal.code == ResultCode.submission_outcome_unknown
    if fault == Fault.late:
        # The write is applied after its caller has stopped waiting.
        cluster.platform.late_writes.pop()()
    await _submit(
        cluster, 'intent', intent_text(2), base=1, write_id='w2', operator='rui'
    )
    again = await service.submit(cluster.sign(unsigned))
    assert again.ok.repeated
    assert again.ok.revision.revision == 1
    assert again.ok.newest_revision == 2


async def test_lost_answer_is_resolved_by_a_read(cluster: Cluster) -> None:
    """Guards against an unknown outcome when a read determines it."""
    cluster.platform.faults = [Fault.none, Fault.lost]
    committed = await _submit(cluster, 'intent', intent_text(1))
    assert committed.ok.revision.revision == 1


@pytest.mark.parametrize('operation', [0, 1, 2])
async def test_refused_submission_is_not_committed_in_an_outage(
    cluster: Cluster, operation: int
) -> None:
    """Guards against a refusal of a submission that was committed."""
    await _submit(cluster, 'intent', intent_text(1))
    await cluster.service_by_name['entry-1'].stop()
    cluster.platform.faults = [
        Fault.none if number < operation else Fault.unavailable
        for number in range(9)
    ]
    refused = await _submit(
        cluster, 'intent', intent_text(2), base=1, write_id='w2'
    )
    assert refused.is_error()
    rows = [row.write_id for row in cluster.platform.rows_written]
    assert 'w2' not in rows


@pytest.mark.parametrize(
    ('scope', 'text', 'line'),
    [
        ('intent', service_text(), 2),
        ('service.ledger', service_text(slot_count=512), 5),
        ('places', places_text(service='stagebook'), 9),
        ('places', places_text(state='lost'), 7),
        ('places', places_text()[:60], 0),
    ],
)
async def test_invalid_declaration_changes_nothing(
    cluster: Cluster, scope: str, text: str, line: int
) -> None:
    """Guards against a file applied in part or to the wrong scope."""
    await _submit(cluster, 'service.ledger', service_text())
    base = 1 if scope == 'service.ledger' else 0
    refused = await _submit(cluster, scope, text, base=base, write_id='w2')
    assert refused.error.refusal.code == ResultCode.declaration_invalid
    if line:
        assert refused.error.errors[0].line == line
    in_force = cluster.service_by_name['entry-1'].revision_by_scope()
    assert in_force == {'service.ledger': 1}


async def test_submission_without_a_valid_signature_is_refused(
    cluster: Cluster,
) -> None:
    """Guards against a signature of other content."""
    unsigned = submission('intent', intent_text(1))
    signed = cluster.sign(with_write_id(unsigned, 'w9'))
    refused = await cluster.service_by_name['entry-1'].submit(
        SignedSubmission(unsigned, signed.signature)
    )
    assert refused.error.refusal.code == ResultCode.not_authorised
    assert not cluster.platform.rows_written


async def test_base_that_never_existed_is_refused(cluster: Cluster) -> None:
    """Guards against a base revision from another cluster."""
    refused = await _submit(cluster, 'intent', intent_text(1), base=4)
    assert refused.error.refusal.code == ResultCode.revision_unknown


async def test_history_returns_each_revision_with_its_text(
    cluster: Cluster,
) -> None:
    """Guards against the loss of replaced revisions."""
    for number in range(4):
        await _submit(
            cluster,
            'intent',
            intent_text(number),
            base=number,
            write_id=f'w{number}',
        )
    service = cluster.service_by_name['entry-1']
    history = await service.history('intent', limit=3)
    assert [shown.revision for shown in history.ok] == [4, 3, 2]
    assert history.ok[-1].text == intent_text(1)
    absent = await service.revision('intent', 9)
    assert absent.error.code == ResultCode.revision_unknown
