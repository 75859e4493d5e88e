import {connect} from 'node:net';

import {encodeFrame} from '@gentianshunt/frames';
import t from 'tap';

import {PROTOCOL_VERSION} from '../src/index.js';
import type {PeerFrame} from '../src/index.js';
import {HOST, openLinks, waitUntil} from './linkFixture.js';

const HELLO = {kind: 'hello', protocol: PROTOCOL_VERSION, node: 'peer'};
const MAX_OPEN_MESSAGES = 4;

function createFragment(
  message: number,
  messageBytes: number,
  bytes: number,
): PeerFrame {
  return {
    kind: 'fragment',
    message,
    messageBytes,
    bytes: Buffer.alloc(bytes, 0xff),
  };
}

const CASES = [
  {
    name: 'a message that is too long',
    frames: [createFragment(1, 2 ** 40, 10)],
    code: 'ERR_MESSAGE_TOO_LARGE',
  },
  {
    name: 'more bytes than the message has',
    frames: [createFragment(1, 15, 10), createFragment(1, 15, 10)],
    code: 'ERR_UNEXPECTED_FRAME',
  },
  {
    name: 'a length that changes',
    frames: [createFragment(1, 100, 10), createFragment(1, 90, 10)],
    code: 'ERR_UNEXPECTED_FRAME',
  },
  {
    name: 'a fragment without bytes',
    frames: [createFragment(1, 100, 0)],
    code: 'ERR_UNEXPECTED_FRAME',
  },
  {
    name: 'a negative length',
    frames: [createFragment(1, -1, 10)],
    code: 'ERR_UNEXPECTED_FRAME',
  },
  {
    name: 'too many messages at once',
    frames: Array.from({length: MAX_OPEN_MESSAGES + 1}, (_, index) =>
      createFragment(index, 100, 10),
    ),
    code: 'ERR_UNEXPECTED_FRAME',
  },
  {
    name: 'a message that cannot be decoded',
    frames: [createFragment(1, 10, 10)],
    code: 'ERR_MALFORMED_FRAME',
  },
];

for (const {name, frames, code} of CASES) {
  t.test(`a link is closed after ${name}`, async t => {
    const {links, errors} = await openLinks('self');
    const socket = connect(links.address.port, HOST);
    socket.on('error', () => undefined);
    [HELLO, ...frames].forEach(frame => socket.write(encodeFrame(frame)));
    await waitUntil(() => errors.length > 0);
    t.match(errors, [{code}]);
    socket.destroy();
    await links.close();
  });
}
