import {SchedulerError} from '@gentianshunt/errors';

/** Thrown when a peer uses another version of the protocol. */
export class ProtocolVersionError extends SchedulerError {
  constructor(peer: string, version: unknown) {
    super({
      code: 'ERR_PROTOCOL_VERSION',
      message: `peer uses unsupported protocol version ${String(version)}`,
      origin: {step: 'readHello', peer},
      hint: 'run the same release on both daemons',
    });
  }
}

/** Thrown when a frame is not valid in the peer protocol or comes too early. */
export class UnexpectedFrameError extends SchedulerError {
  constructor(peer: string, step: string) {
    super({
      code: 'ERR_UNEXPECTED_FRAME',
      message: 'received a frame that the peer protocol does not allow',
      origin: {step, peer},
    });
  }
}

/** The reason for closing a link that has received nothing for too long. */
export class PeerSilentError extends SchedulerError {
  constructor(peer: string, silentMs: number) {
    super({
      code: 'ERR_PEER_SILENT',
      message: `peer has sent nothing for ${silentMs} ms`,
      origin: {step: 'awaitFrame', peer},
    });
  }
}

/** The reason for giving up a connection that the peer has not accepted. */
export class PeerUnreachableError extends SchedulerError {
  constructor(peer: string, waitedMs: number) {
    super({
      code: 'ERR_PEER_UNREACHABLE',
      message: `peer did not accept a connection within ${waitedMs} ms`,
      origin: {step: 'connect', peer},
    });
  }
}

/** Thrown when a message is longer than a link may send or receive. */
export class MessageTooLargeError extends SchedulerError {
  constructor(peer: string, bytes: number, limit: number) {
    super({
      code: 'ERR_MESSAGE_TOO_LARGE',
      message: `message of ${bytes} bytes exceeds the limit of ${limit} bytes`,
      origin: {step: 'checkMessageSize', peer},
    });
  }
}
