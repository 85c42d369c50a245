"""Checks submissions and commits each with one conditional write."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from expression import Result

from yuccadale_core.authority import OperatorKeys, SignedSubmission, Submission
from yuccadale_core.codes import ResultCode
from yuccadale_core.counters import Counters
from yuccadale_core.declaration import ScopeDeclaration
from yuccadale_core.declaration_ini import (
    Change,
    DeclarationError,
    ScopeFile,
    check_replacement,
    check_across_scopes,
    difference,
    read_scope,
)
from yuccadale_core.messages import ScopeRevision
from yuccadale_core.platform import (
    Objects,
    Table,
    TableFailure,
    TableFailureKind,
    write_and_confirm,
)
from yuccadale_core.refusals import Refusal

from yuccadale_router._internal.configuration.declaration_rows import (
    archive,
    decode_revision,
    encode_revision,
    read_archived,
    read_revisions,
    row_name,
)


@dataclass(frozen=True, slots=True)
class Accepted:
    """A committed submission.

    Attributes:
        revision: the submission as committed.
        repeated: whether an earlier attempt had committed it.
        newest_revision: newest of the scope; higher than the submission's
            own if it has been replaced.
    """

    revision: ScopeRevision
    repeated: bool
    newest_revision: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """A submission that was not applied, or whose outcome is unknown.

    Attributes:
        errors: errors in the declaration.
        winner: newest revision, committed on the base or a later revision.
        changes: differences between the base revision and the winner.
    """

    refusal: Refusal
    errors: tuple[DeclarationError, ...] = ()
    winner: ScopeRevision | None = None
    changes: tuple[Change, ...] = ()


Answer = Result[Accepted, Rejected]


def replaceable_revision(submission: Submission, _newest_revision: int) -> int:
    """Returns the only revision that a submission may replace: its base."""
    return submission.base_revision


class Submissions:
    """Checks submissions and writes them to the table."""

    def __init__(
        self,
        where: str,
        *,
        table: Table,
        objects: Objects,
        operator_keys: OperatorKeys,
        counters: Counters,
        utc_now: Callable[[], str],
    ) -> None:
        self._where = where
        self._table = table
        self._objects = objects
        self._operator_keys = operator_keys
        self._counters = counters
        self._utc_now = utc_now

    async def submit(
        self,
        signed: SignedSubmission,
        apply_revisions: Callable[[list[ScopeRevision]], None],
    ) -> Answer:
        """Commits a submission or returns why it was rejected.

        ``apply_revisions`` receives the revisions that were read or written.
        """
        answer = await self._submit(signed, apply_revisions)
        if answer.is_ok():
            self._counters.count('configuration.submission.accepted')
        else:
            code = answer.error.refusal.code
            self._counters.count(f'configuration.submission.{code.name}')
        return answer

    async def _submit(
        self,
        signed: SignedSubmission,
        apply_revisions: Callable[[list[ScopeRevision]], None],
    ) -> Answer:
        if not self._operator_keys.verifies(signed):
            operator = ascii(signed.submission.operator)
            return self._reject(
                ResultCode.not_authorised, f'no valid signature of {operator}'
            )
        submission = signed.submission
        scope_file = read_scope(submission.text, submission.scope)
        if scope_file.is_error():
            return self._reject_errors(scope_file.error)
        errors = _check_scope(scope_file.ok, submission)
        if errors:
            return self._reject_errors(errors)
        newest = await read_revisions(self._table)
        if newest.is_error():
            return self._reject_unavailable(newest.error)
        apply_revisions(list(newest.ok.values()))
        return await self._replace(
            submission, scope_file.ok, newest.ok, apply_revisions
        )

    async def _replace(
        self,
        submission: Submission,
        scope_file: ScopeFile,
        newest_by_scope: dict[str, ScopeRevision],
        apply_revisions: Callable[[list[ScopeRevision]], None],
    ) -> Answer:
        head = newest_by_scope.get(submission.scope)
        newest_revision = 0 if head is None else head.revision
        base = replaceable_revision(submission, newest_revision)
        if base != newest_revision:
            return await self._find_outcome(submission, head)
        errors = check_across_scopes(
            scope_file, _declarations(newest_by_scope.values())
        ) + check_replacement(
            scope_file,
            _declaration(head),
            lost_confirmed=submission.lost_confirmed,
        )
        if errors:
            return self._reject_errors(errors)
        if head is not None:
            archived = await archive(self._objects, head)
            if archived.is_error():
                return self._reject_unavailable(archived.error)
        answer = await self._write(submission, base)
        if answer.is_ok():
            apply_revisions([answer.ok.revision])
        return answer

    async def _write(self, submission: Submission, base: int) -> Answer:
        revision = ScopeRevision(
            scope=submission.scope,
            revision=base + 1,
            write_id=submission.write_id,
            submitted_by=submission.operator,
            submitted_at=self._utc_now(),
            text=submission.text,
        )
        written = await write_and_confirm(
            self._table,
            row_name(submission.scope),
            encode_revision(revision),
            expected_version=base,
            write_id=submission.write_id,
        )
        if written.is_ok():
            committed = decode_revision(written.ok.text).default_value(revision)
            return Result.Ok(Accepted(committed, False, committed.revision))
        failure = written.error
        if failure.kind == TableFailureKind.conflict and failure.row:
            winner = decode_revision(failure.row.text)
            if winner.is_ok():
                return await self._find_outcome(submission, winner.ok)
        # The write may still be applied later. Only another attempt with the
        # same write id can determine the outcome.
        return self._reject_unknown(failure)

    async def _find_outcome(
        self, submission: Submission, head: ScopeRevision | None
    ) -> Answer:
        """Answers a submission whose base is not the newest revision.

        Either another submission committed base + 1, or an earlier attempt
        of this one did. That revision is the newest row or an object,
        because a revision is archived before it is replaced.
        """
        newest_revision = 0 if head is None else head.revision
        if head is None or submission.base_revision > newest_revision:
            return self._reject(
                ResultCode.revision_unknown,
                f'revision {submission.base_revision} of {submission.scope}'
                f' does not exist; the newest is {newest_revision}',
            )
        following = await self._revision(submission.base_revision + 1, head)
        if following.is_error():
            return self._reject_unknown(following.error)
        own = following.ok
        if own is not None and own.write_id == submission.write_id:
            if own.text != submission.text:
                return self._reject(
                    ResultCode.request_id_reused,
                    f'submission id {submission.write_id} has another text',
                )
            return Result.Ok(Accepted(own, True, newest_revision))
        return await self._reject_outdated(submission, head)

    async def _reject_outdated(
        self, submission: Submission, winner: ScopeRevision
    ) -> Answer:
        base = await self._revision(submission.base_revision, winner)
        before = base.default_value(None)
        after = _declaration(winner)
        changes = (
            [] if after is None else difference(_declaration(before), after)
        )
        refusal = Refusal(
            ResultCode.base_revision_outdated,
            self._where,
            f'{winner.submitted_by} submitted revision {winner.revision} of'
            f' {winner.scope} at {winner.submitted_at}',
        )
        return Result.Error(Rejected(refusal, (), winner, tuple(changes)))

    async def _revision(
        self, number: int, head: ScopeRevision
    ) -> Result[ScopeRevision | None, TableFailure]:
        if number == head.revision:
            return Result.Ok(head)
        return await read_archived(self._objects, head.scope, number)

    def _reject(self, code: ResultCode, detail: str) -> Answer:
        return Result.Error(Rejected(Refusal(code, self._where, detail)))

    def _reject_errors(self, errors: list[DeclarationError]) -> Answer:
        detail = '; '.join(str(error) for error in errors[:3])
        refusal = Refusal(ResultCode.declaration_invalid, self._where, detail)
        return Result.Error(Rejected(refusal, tuple(errors)))

    def _reject_unavailable(self, failure: TableFailure) -> Answer:
        return self._reject(
            ResultCode.platform_unavailable,
            f'{failure.kind}: {failure.detail}',
        )

    def _reject_unknown(self, failure: TableFailure) -> Answer:
        return self._reject(
            ResultCode.submission_outcome_unknown,
            f'{failure.kind}: {failure.detail}',
        )


def _check_scope(
    scope_file: ScopeFile, submission: Submission
) -> list[DeclarationError]:
    found = scope_file.declaration.scope
    if found == submission.scope:
        return []
    return [
        scope_file.error_at('declaration', 'scope', found, submission.scope)
    ]


def _declaration(revision: ScopeRevision | None) -> ScopeDeclaration | None:
    if revision is None:
        return None
    scope_file = read_scope(revision.text, revision.scope)
    return scope_file.ok.declaration if scope_file.is_ok() else None


def _declarations(
    revisions: Iterable[ScopeRevision],
) -> list[ScopeDeclaration]:
    declarations = [_declaration(revision) for revision in revisions]
    return [known for known in declarations if known is not None]
