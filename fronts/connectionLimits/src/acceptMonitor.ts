/** Measures how long connections wait until a server accepts them. */
import {connect} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

import type {Clock, Milliseconds, MonotonicTime} from '@gentianshunt/clock';

/** Time between two measurements. */
const ACCEPT_SAMPLE_INTERVAL_MS: Milliseconds = 500;
/** After this time a connection that was not accepted is given up. */
const MAX_SAMPLE_MS: Milliseconds = 2_000;

/** Options of the monitor. */
export interface AcceptMonitorOptions {
  readonly server: Server;
  readonly clock: Clock;
  /** Called with each wait, also with one that has not ended yet. */
  readonly onSample: (waitMs: Milliseconds) => void;
}

/** A connection to the own listener. */
interface Sample {
  readonly socket: Socket;
  readonly startedAt: MonotonicTime;
}

/**
 * Connects to a listener of this process at intervals. The network answers a
 * client at once; only the server knows when it accepts the connection.
 */
export function createAcceptMonitor({
  server,
  clock,
  onSample,
}: AcceptMonitorOptions): void {
  let sample: Sample | undefined;
  const measure = (): Milliseconds =>
    sample === undefined ? 0 : clock.readMonotonic() - sample.startedAt;
  const endSample = (): void => {
    sample?.socket.destroy();
    sample = undefined;
  };
  const isSample = (port: number | undefined): boolean =>
    sample !== undefined && sample.socket.localPort === port;
  server.on('connection', accepted => {
    if (isSample(accepted.remotePort)) {
      onSample(measure());
      accepted.destroy();
      endSample();
    }
  });
  // A server with too many connections closes new ones as soon as it accepts them.
  server.on('drop', dropped => {
    if (isSample(dropped?.remotePort)) {
      onSample(measure());
      endSample();
    }
  });
  const startSample = (): void => {
    const {address, port} = server.address() as AddressInfo;
    const socket = connect({host: address, port});
    const started = {socket, startedAt: clock.readMonotonic()};
    socket.on('error', () => {
      if (sample === started) {
        endSample();
      }
    });
    sample = started;
  };
  setInterval(() => {
    if (sample !== undefined) {
      onSample(measure());
      if (measure() >= MAX_SAMPLE_MS) {
        endSample();
      }
    } else if (server.listening) {
      startSample();
    }
  }, ACCEPT_SAMPLE_INTERVAL_MS).unref();
}
