import {SchedulerError} from '@gentianshunt/errors';
import t from 'tap';

import {formatFields, listFields} from '../src/index.js';

function createError(): SchedulerError {
  return new SchedulerError({
    code: 'ERR_EXAMPLE',
    message: 'it did not work',
    origin: {step: 'connect', peer: 'entry-1'},
  });
}

t.test('an error is logged with its code, step and peer', async t => {
  const fields = listFields({kind: 'peerLinkFailed', error: createError()});
  t.equal(
    formatFields(fields),
    'event=peerLinkFailed code=ERR_EXAMPLE step=connect peer=entry-1 message="it did not work"',
  );
});

t.test('values that hold separators are quoted', async t => {
  t.equal(formatFields([{name: 'a', value: 'b=c'}]), 'a="b=c"');
});
