import {buildConnector} from 'undici';

const RESET_CODE = 'ECONNRESET';
/** Code of the error of a connection that an endpoint reset. */
const CONNECTION_RESET_CODE = 'ERR_CONNECTION_RESET';

/**
 * Creates a connector whose connections report a reset under a code of its own.
 * The client takes an answer without a length for complete when it sees the
 * usual one, although the rest of the answer is lost.
 */
export function createEndpointConnector(
  options: buildConnector.BuildOptions,
): buildConnector.connector {
  const connect = buildConnector(options);
  return (target, callback) =>
    connect(target, (...result) => {
      const [, socket] = result;
      socket?.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === RESET_CODE) {
          error.code = CONNECTION_RESET_CODE;
        }
      });
      callback(...result);
    });
}
