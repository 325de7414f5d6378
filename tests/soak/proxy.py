"""A TCP proxy that delays, cuts, silences and resets connections."""

import asyncio

import wire

CHUNK = 65536


class Connection:
    def __init__(self, writer):
        self.writers = [writer]
        self.is_silent = False
        self.tasks = []


class Proxy:
    """Forwards connections from one address to another."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.delay = 0.0
        # Set while bytes pass: towards the target, and back.
        self.passes = [asyncio.Event(), asyncio.Event()]
        for event in self.passes:
            event.set()
        self.connections = set()
        self.server = None

    async def open(self):
        """Listens; as long as nobody listens at the target, nor does this."""
        if self.server is None:
            self.server = await asyncio.start_server(self.accept, *self.listen)

    def close(self):
        """Refuses connections from now on and resets the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()

    def cut(self, towards=True, back=True):
        """Holds bytes up until `mend`, as a partition does."""
        for event, is_cut in zip(self.passes, (towards, back)):
            if is_cut:
                event.clear()

    def mend(self):
        for event in self.passes:
            event.set()

    def reset(self):
        for connection in list(self.connections):
            for writer in connection.writers:
                wire.reset(writer)
            for task in connection.tasks:
                task.cancel()

    def silence(self):
        """Open connections pass nothing more and are not closed."""
        for connection in self.connections:
            connection.is_silent = True

    async def accept(self, reader, writer):
        connection = Connection(writer)
        self.connections.add(connection)
        try:
            await self.passes[0].wait()
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            connection.writers.append(target_writer)
            connection.tasks = [
                asyncio.ensure_future(self.pump(connection, 0, reader, target_writer)),
                asyncio.ensure_future(self.pump(connection, 1, target_reader, writer)),
            ]
            await asyncio.gather(*connection.tasks, return_exceptions=True)
        except OSError:
            wire.reset(writer)
        except asyncio.CancelledError:
            pass
        finally:
            for other in connection.writers:
                other.transport.abort()
            self.connections.discard(connection)

    async def pump(self, connection, direction, reader, writer):
        try:
            while True:
                data = await reader.read(CHUNK)
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self.passes[direction].wait()
                if connection.is_silent:
                    await asyncio.Event().wait()
                if not data:
                    # The programs do not use half-closed connections.
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            for other in connection.writers:
                wire.reset(other)
