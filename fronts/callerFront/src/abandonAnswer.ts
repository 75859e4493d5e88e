import type {ServerResponse} from 'node:http';

/**
 * Ends an answer that has begun so that it does not look complete. In HTTP/1.0
 * the end of the connection would end it in order, so there it is reset.
 */
export function abandonAnswer(response: ServerResponse): void {
  const {socket, req} = response;
  const hasChunks = req.httpVersionMajor > 1 || req.httpVersionMinor > 0;
  if (!hasChunks && socket !== null) {
    socket.resetAndDestroy();
  }
  response.destroy();
}
