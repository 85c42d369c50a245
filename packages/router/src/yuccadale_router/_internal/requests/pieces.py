"""Splits large bodies so that small messages can pass in between."""

from yuccadale_core.messages import BodyPiece

PIECE_BYTES = 64 << 10


def piece_count(body_length: int) -> int:
    """Returns the number of pieces; 0 if the body is sent in its message."""
    if body_length <= PIECE_BYTES:
        return 0
    return -(-body_length // PIECE_BYTES)


def split(forward_id: int, body: bytes, *, of_answer: bool) -> list[BodyPiece]:
    """Returns the pieces of a body; none if it is sent in its message."""
    return [
        BodyPiece(
            forward_id=forward_id,
            of_answer=of_answer,
            index=index,
            piece=body[index * PIECE_BYTES : (index + 1) * PIECE_BYTES],
        )
        for index in range(piece_count(len(body)))
    ]


class Assembly:
    """Joins the pieces of one body; they must arrive in order."""

    __slots__ = ('_limit_bytes', '_missing', '_pieces')

    def __init__(self, pieces: int, limit_bytes: int) -> None:
        self._missing = pieces
        self._limit_bytes = limit_bytes
        self._pieces: list[bytes] = []

    @property
    def complete(self) -> bool:
        """Whether all pieces have arrived."""
        return not self._missing

    @property
    def body(self) -> bytes:
        """The joined body."""
        return b''.join(self._pieces)

    def add(self, piece: BodyPiece) -> bool:
        """Adds the next piece; returns False if out of order or too large."""
        if not self._missing or piece.index != len(self._pieces):
            return False
        self._limit_bytes -= len(piece.piece)
        if self._limit_bytes < 0:
            return False
        self._pieces.append(piece.piece)
        self._missing -= 1
        return True
