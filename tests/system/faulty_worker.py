"""A worker on raw sockets that misbehaves as a task's body asks it to.

The body {"fault": NAME} selects one of the fault functions below; a task
without a fault gets a correct answer. Every request that was read completely
is appended to .seen.
"""
import json
import socket
import socketserver
import struct
import threading

HEAD = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n"


def answer(task, token, status=200, body=b'{"ok":1}', more="", length=None):
    echo = f"Bergamot-Task: {task}/{token}\r\n" if token else ""
    size = len(body) if length is None else length
    return (HEAD % (status, size, echo + more)).encode() + body


# Each function gets the handler, the task and the task's token, and returns
# False to have the connection closed.

def well(h, task, token):
    h.send(answer(task, token))


def close(_h, _task, _token):
    return False


def reset(h, _task, _token):
    h.request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                         struct.pack("ii", 1, 0))
    return False


def twice(h, task, token):
    h.send(answer(task, token) * 2)


def truncated(h, task, token):
    h.send(answer(task, token, length=1000))
    return False


def oversize(h, task, token):
    h.send(answer(task, token, body=b"1" * 5000))


def other_echo(h, task, token):
    h.send(answer(task, "0" * len(token)))


def no_echo(h, task, _token):
    h.send(answer(task, None))


def redirect(h, task, token):
    h.send(answer(task, token, 307,
                  more=f"Location: http://{h.server.address}/again\r\n"))


def error(h, task, token):
    h.send(answer(task, token, 500))


def bad_json(h, task, token):
    h.send(answer(task, token, body=b'{"ok":'))


def junk(h, _task, _token):
    h.send(b"\x00\xffjunk\r\n\r\n")
    return False


def late(h, task, token):
    h.server.released.wait()
    h.send(answer(task, token))


def refuse(h, task, token):
    h.send(answer(task, token, 503, b"{}", "Bergamot-Not-Started: busy\r\n"))


def leave(h, task, token):
    h.send(answer(task, token, 503, b"{}", "Bergamot-Not-Started: leaving\r\n"
                  "Bergamot-Leaving: true\r\n"))


class Handler(socketserver.StreamRequestHandler):
    def send(self, data):
        self.wfile.write(data)
        self.wfile.flush()

    def handle(self):
        try:
            while self.serve_one():
                pass
        except OSError:
            pass

    def serve_one(self):
        line = self.rfile.readline().decode().split()
        headers = {}
        if len(line) < 2:
            return False
        for raw in iter(self.rfile.readline, b"\r\n"):
            name, _, value = raw.decode().partition(":")
            headers[name.lower()] = value.strip()
        body = self.rfile.read(int(headers.get("content-length", 0)))
        task = line[1].removeprefix("/v1/tasks/")
        token = headers.get("bergamot-token", "")
        self.server.seen.append((line[0], task, token))
        fault = self.server.fault
        if line[0] != "POST":
            fault = "well"
        elif not fault:
            fault = (json.loads(body) or {}).get("fault", "well")
        return globals()[fault](self, task, token) is not False


class FaultyWorker(socketserver.ThreadingTCPServer):
    daemon_threads = True

    def __init__(self, name, slots=1, fault=None):
        super().__init__(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server_address[1]
        self.entry = {"name": name, "data_centre": "a", "service": "quote",
                      "address": self.address, "slots": slots}
        self.fault = fault  # for every task; None: each body names its own
        self.seen = []
        self.released = threading.Event()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def __exit__(self, *args):
        self.released.set()
        self.shutdown()
        self.server_close()

    def starts(self):
        return [task for method, task, _ in self.seen if method == "POST"]

    def tokens(self, method):
        return {token for m, _, token in self.seen if m == method}
