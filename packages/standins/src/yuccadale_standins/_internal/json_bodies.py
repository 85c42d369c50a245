"""JSON bodies of the stand-ins' interfaces."""

from typing import TypeVar

import msgspec
from aiohttp import web

_Faults = TypeVar('_Faults', bound=msgspec.Struct)


def json_answer(document: object, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.Response(
        body=msgspec.json.encode(document),
        status=status,
        content_type='application/json',
    )


def merge_faults(faults: _Faults, body: bytes) -> _Faults:
    """Returns the faults with the fields in the JSON body replaced.

    Raises ``HTTPBadRequest`` for a wrong type or an unknown name, so that a
    test cannot set a fault that does not exist.
    """
    try:
        named = msgspec.json.decode(body, type=dict[str, object])
        unknown = set(named) - set(faults.__struct_fields__)
        if not unknown:
            return msgspec.convert(
                msgspec.to_builtins(faults) | named, type=type(faults)
            )
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    raise web.HTTPBadRequest(text=f'unknown faults: {sorted(unknown)}')
