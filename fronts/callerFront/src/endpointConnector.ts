import type {Socket} from 'node:net';

import {buildConnector} from 'undici';

const RESET_CODE = 'ECONNRESET';
/** Code of the error of a connection that an endpoint reset. */
export const CONNECTION_RESET_CODE = 'ERR_CONNECTION_RESET';
const NO_BYTES = Buffer.alloc(0);

/**
 * Creates a connector whose connections end only in order: one that the endpoint
 * reset fails, under a code of its own. The client takes an answer without a
 * length for complete when its connection ends or fails with the usual code,
 * although the rest of the answer may be lost.
 */
export function createEndpointConnector(
  options: buildConnector.BuildOptions,
): buildConnector.connector {
  const connect = buildConnector(options);
  return (target, callback) =>
    connect(target, (...result) => {
      const [, socket] = result;
      if (socket) {
        socket.on('error', changeResetCode);
        awaitOrderlyEnd(socket);
      }
      callback(...result);
    });
}

function changeResetCode(error: NodeJS.ErrnoException): void {
  if (error.code === RESET_CODE) {
    error.code = CONNECTION_RESET_CODE;
  }
}

/**
 * Holds back the end of a socket until all bytes before it were read and the
 * kernel has confirmed that the connection was not reset. The runtime reports a
 * reset that is read together with the last bytes as an end; only a write still
 * fails then, even an empty one. The client must not see the end in the same
 * turn as the last bytes, because it cannot handle an end while it is paused.
 */
function awaitOrderlyEnd(socket: Socket): void {
  const push = socket.push.bind(socket);
  const read = socket.read.bind(socket);
  let isHeld = false;
  const release = (): void => {
    if (isHeld && socket.readableLength === 0 && !socket.destroyed) {
      isHeld = false;
      push(null);
    }
  };
  const confirm = (): void => {
    socket.write(NO_BYTES, error => {
      if (error === null || error === undefined) {
        isHeld = true;
        release();
      }
    });
  };
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (chunk !== null) {
      return push(chunk, encoding);
    }
    confirm();
    return false;
  };
  socket.read = (size?: number) => {
    const chunk: unknown = read(size);
    if (isHeld && socket.readableLength === 0) {
      setImmediate(release);
    }
    return chunk;
  };
}
