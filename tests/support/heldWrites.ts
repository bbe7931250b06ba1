import type { Socket } from 'node:net';

type WriteCallback = (error?: Error | null) => void;

/** Encoding with which streams pass buffers on; missing in the types. */
const BUFFER = 'buffer' as BufferEncoding;

/**
 * Keeps a connection's bytes in the process after the first `passedBytes`, as those for a caller that reads slowly.
 * @returns a function that sends them.
 */
export function holdWrites(socket: Socket | undefined, passedBytes = 0): () => void {
  if (!socket) throw new Error('The connection is not known to the server.');
  const released = new AbortController();
  const write = socket._write.bind(socket);
  let passable = passedBytes;
  const hold = (bytes: Buffer, callback: WriteCallback) => {
    const passed = bytes.subarray(0, passable);
    passable -= passed.length;
    if (passed.length > 0) write(passed, BUFFER, () => undefined);
    const sendRest = () => {
      write(bytes.subarray(passed.length), BUFFER, callback);
    };
    if (released.signal.aborted) sendRest();
    else released.signal.addEventListener('abort', sendRest);
  };
  socket._write = (chunk: Buffer | string, encoding, callback) => {
    hold(Buffer.from(chunk as string, encoding), callback);
  };
  socket._writev = (chunks, callback) => {
    const parts = chunks.map(({ chunk, encoding }) => Buffer.from(chunk as string, encoding));
    hold(Buffer.concat(parts), callback);
  };
  return () => {
    released.abort();
  };
}
