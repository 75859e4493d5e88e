import t from 'tap';

import {checkCells} from './checkCells.js';

checkCells(t, ['firstToken', 'middle', 'lastToken']);
