"""Tries a node's memcached front with a client library.

    pip install python-binary-memcached
    sloewick demo --seconds 60 --front memcached --visitors
    # prints where nodes listen for memcached clients
    python examples/memcached_client.py 127.0.0.1:PORT

Keys are those of the demo's routes: logger/TENANT/NUMBER is read, alarm/TENANT/NUMBER is set (a repeat within 10 s is one
wish), ack/TENANT/NUMBER is set and never repeated.
"""

import re
import sys
import threading
import time

import bmemcached
from bmemcached.exceptions import MemcachedException


def client(address, timeout=3.0):
    # Values are bytes and flags are 0: a gateway before a read cache keeps no flags.
    return bmemcached.Client((address,), socket_timeout=timeout, raw_data=True)


def shown(value):
    return value if value is None else f"{len(value)} bytes, {value[:12]!r}..."


def retry_after(error):
    """Milliseconds that a refusal (status 0x85) asks to wait; None if it gives no advice."""
    found = re.search(r"after (\d+) ms", str(error))
    return int(found.group(1)) if found else None


def main(address):
    c = client(address)
    print("get        ", shown(c.get("logger/1/00007")))
    wish = f"level={time.time_ns()}".encode()
    print("set        ", c.set("alarm/1/00007", wish))
    print("set again  ", c.set("alarm/1/00007", wish), "(one wish: the boxes drop the repeat)")
    try:
        many = c.get_multi([f"logger/1/{n:05}" for n in range(20)])
        print("get_multi  ", len(many), "of 20")
    except MemcachedException as error:
        print("get_multi  ", error, "| retry after:", retry_after(error))
        # The library stops at the first refusal and leaves the other answers unread.
        c.disconnect_all()
    try:
        c.get("nobody/knows")
    except MemcachedException as error:
        print("no route   ", error)
    try:
        c.delete("logger/1/00007")
    except MemcachedException as error:
        print("delete     ", error)

    # A refusal: the same wish is already out on another connection.
    wish, refused = f"level={time.time_ns()}".encode(), []

    def ask():
        try:
            client(address).set("alarm/1/00008", wish)
        except MemcachedException as error:
            refused.append(error)

    threads = [threading.Thread(target=ask) for _ in range(4)]
    [t.start() for t in threads]
    [t.join() for t in threads]
    for error in refused[:1]:
        print("refusal    ", error, "| retry after:", retry_after(error))
    print("refused    ", len(refused), "of 4 at once")

    # A time-out on the client's side: it waits 5 ms, a set takes longer. It may have run, and the repeat is the same wish.
    wish = f"level={time.time_ns()}".encode()
    print("too short  ", client(address, timeout=0.005).set("alarm/1/00009", wish))
    time.sleep(1)
    print("once more  ", c.set("alarm/1/00009", wish))


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit("usage: memcached_client.py HOST:PORT")
    main(sys.argv[1])
