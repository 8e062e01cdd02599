"""A target over plain sockets that does what a script says."""

import contextlib
import socket
import threading
import time

LATE_S = 1.5
WHILE_S = 0.2
STALL_S = 5.0


class ScriptedTarget:
    """Records what it ran, then behaves as told."""

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.ran = []
        self.heads = []
        self.body_bytes = 0
        self.closed = threading.Event()
        self.resume = threading.Event()
        self.server = socket.create_server(('127.0.0.1', 0), backlog=64)
        self.port = self.server.getsockname()[1]
        if behaviour == 'is not there':
            self.server.close()
        else:
            threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        self.server.close()

    def _accept(self):
        while True:
            try:
                connection, _address = self.server.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with contextlib.closing(connection):
            reader = connection.makefile('rb')
            while True:
                try:
                    if not self._serve_one(connection, reader):
                        return
                except OSError:
                    return

    def _serve_one(self, connection, reader):
        head = {}
        line = reader.readline()
        if not line:
            self.closed.set()
            return False
        while header := reader.readline().strip():
            name, _, value = header.decode('latin-1').partition(':')
            head[name.lower()] = value.strip()
        head[':line'] = line.decode('latin-1').strip()
        self.heads.append(head)
        if self.behaviour == 'refuses before work':
            connection.sendall(
                b'HTTP/1.1 503 Shed\r\nX-Not-Run: 1\r\n'
                b'Content-Length: 0\r\nConnection: close\r\n\r\n'
            )
            return False
        if not self._read_body(head, reader):
            return False
        name = head.get('x-request-id', '')
        self.ran.append(name)
        return self._answer(connection, name.encode())

    def _read_body(self, head, reader):
        """Read the body; False when it ends early."""
        if head.get('transfer-encoding') == 'chunked':
            while size := int(reader.readline() or b'-1', 16):
                if size < 0 or len(reader.read(size + 2)) < size + 2:
                    return False
                self.body_bytes += size
            return reader.readline() == b'\r\n'
        left = int(head.get('content-length', 0))
        while left:
            data = reader.read(min(left, 65536))
            if not data:
                return False
            left -= len(data)
            self.body_bytes += len(data)
        return True

    def _answer(self, connection, name):
        if self.behaviour[0] == 'ends':
            connection.sendall(self.behaviour[1])
            return False
        size = len(name)
        start = b'HTTP/1.1 200 OK\r\n'
        whole = start + b'Content-Length: %d\r\n\r\n' % size + name
        if self.behaviour == 'answers':
            connection.sendall(whole)
            return True
        if self.behaviour == 'answers after a while':
            time.sleep(WHILE_S)
            connection.sendall(whole)
            return True
        if self.behaviour == 'answers too late':
            time.sleep(LATE_S)
            connection.sendall(whole)
            return True
        if self.behaviour == 'sends half its answer and waits':
            connection.sendall(start + b'Content-Length: 8\r\n\r\nhalf')
            self.resume.wait(STALL_S)
            connection.sendall(b'done')
            return True
        if self.behaviour == 'cuts its answer':
            length = b'Content-Length: %d\r\n\r\n' % (size + 5)
            connection.sendall(start + length + name)
        elif self.behaviour == 'cuts a chunked answer':
            coding = b'Transfer-Encoding: chunked\r\n\r\n'
            connection.sendall(start + coding + b'ff\r\n' + name)
        elif self.behaviour == 'answers garbage':
            connection.sendall(b'\x00\x01 what?\r\n\r\n')
        elif self.behaviour == 'stalls':
            connection.settimeout(STALL_S)
            if not connection.recv(1):
                self.closed.set()
        return False
