export {createOriginController} from './originController.js';
