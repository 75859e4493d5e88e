#!/usr/bin/env node
import {runProcess} from '@gentianshunt/processControl';

runProcess({
  policy: {repeatedStop: 'endAtOnce', reload: 'unsupported'},
  // Loaded once signals are handled, as loading takes a while.
  start: async context => {
    const {startProgram} = await import('./program.js');
    return startProgram(context);
  },
});
