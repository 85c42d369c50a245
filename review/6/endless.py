"""A server in trouble: some of its answers never end.

Arguments: its port, one of how many answers has no end, the bytes a second of
such an answer. The others are whole. One thread serves a connection.
"""

import itertools
import os
import socket
import sys
import threading
import time

CHUNK = b'1\r\nz\r\n'
PIECE = CHUNK * 10_000
_numbers = itertools.count(1)


def main() -> None:
    port, every, per_s = (int(one) for one in sys.argv[1:])
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(('127.0.0.1', port))
    listener.listen(100)
    print('listening', flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(
            target=serve, args=(connection, every, per_s), daemon=True
        ).start()


def serve(connection: socket.socket, every: int, per_s: int) -> None:
    received = b''
    try:
        while True:
            while b'\r\n\r\n' not in received:
                chunk = connection.recv(65536)
                if not chunk:
                    return
                received += chunk
            head, received = received.split(b'\r\n\r\n', 1)
            names = {
                line.split(b':', 1)[0].lower(): line.split(b':', 1)[1].strip()
                for line in head.split(b'\r\n')[1:]
            }
            length = int(names.get(b'content-length', b'0'))
            while len(received) < length:
                received += connection.recv(65536)
            received = received[length:]
            answer(connection, names[b'x-attempt-id'], every, per_s)
    except OSError:
        pass
    finally:
        connection.close()


def answer(
    connection: socket.socket, request_id: bytes, every: int, per_s: int
) -> None:
    head = (
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Signature: %b\r\n'
    ) % (request_id, request_id)
    endless = every and next(_numbers) % every == 0
    # One write, so that the lines of several threads stay whole.
    line = f'{time.monotonic()} {request_id.decode()} {bool(endless)}\n'
    os.write(1, line.encode())
    time.sleep(0.05)
    if not endless:
        connection.sendall(head + b'Content-Length: 2\r\n\r\nok')
        return
    connection.sendall(head + b'Transfer-Encoding: chunked\r\n\r\n')
    began, sent = time.monotonic(), 0
    while True:
        connection.sendall(PIECE)
        sent += len(PIECE)
        early_s = sent / per_s - (time.monotonic() - began)
        if early_s > 0:
            time.sleep(early_s)


main()
