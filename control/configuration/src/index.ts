export * from './applyBatch.js';
export * from './changes.js';
export * from './draftLookup.js';
export * from './isOrderIssuable.js';
export * from './lookup.js';
export * from './objects.js';
export * from './replaceObjects.js';
export * from './checkObject.js';
