import {SchedulerError} from '@gentianshunt/errors';

/** A peer that does not speak this version of the protocol. */
export class ProtocolVersionError extends SchedulerError {
  constructor(peer: string, version: unknown) {
    super({
      code: 'ERR_PROTOCOL_VERSION',
      message: `peer speaks protocol version ${String(version)}`,
      origin: {step: 'readHello', peer},
      hint: 'bring both daemons to the same release',
    });
  }
}

/** A frame that is not a message of the peer protocol. */
export class UnexpectedFrameError extends SchedulerError {
  constructor(peer: string, step: string) {
    super({
      code: 'ERR_UNEXPECTED_FRAME',
      message: 'frame is not a message of the peer protocol',
      origin: {step, peer},
    });
  }
}

/** A peer that has been silent for too long. */
export class PeerSilentError extends SchedulerError {
  constructor(peer: string, silentMs: number) {
    super({
      code: 'ERR_PEER_SILENT',
      message: `nothing received for ${silentMs} ms`,
      origin: {step: 'awaitFrame', peer},
    });
  }
}

/** A peer that did not accept a connection in time. */
export class PeerUnreachableError extends SchedulerError {
  constructor(peer: string, waitedMs: number) {
    super({
      code: 'ERR_PEER_UNREACHABLE',
      message: `no connection within ${waitedMs} ms`,
      origin: {step: 'connect', peer},
    });
  }
}
