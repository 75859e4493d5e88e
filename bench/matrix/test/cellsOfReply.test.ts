import t from 'tap';

import {checkCells} from './checkCells.js';

checkCells(t, ['applied', 'answered']);
