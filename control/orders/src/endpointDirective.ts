import {assertNever} from '@gentianshunt/errors';

/** What an order instructs an endpoint to do. */
export type EndpointDirective =
  | {
      /** Loads a model, with an adapter if one is given. */
      readonly kind: 'load';
      readonly model: string;
      readonly adapter: string | null;
      readonly version: string | null;
    }
  | {
      /** Changes the role of the endpoint, such as prefill or decode. */
      readonly kind: 'changeRole';
      readonly role: string;
    };

/** Returns whether executing a directive reads from the weight store. */
export function isWeightStoreRead(directive: EndpointDirective): boolean {
  switch (directive.kind) {
    case 'load':
      return true;
    case 'changeRole':
      return false;
    default:
      return assertNever(directive, 'isWeightStoreRead');
  }
}

/** Formats a directive in the operators' language. */
export function formatDirective(directive: EndpointDirective): string {
  switch (directive.kind) {
    case 'load': {
      const {model, adapter, version} = directive;
      return [
        `load model ${model}`,
        adapter === null ? '' : ` adapter ${adapter}`,
        version === null ? '' : ` version ${version}`,
      ].join('');
    }
    case 'changeRole':
      return `change role to ${directive.role}`;
    default:
      return assertNever(directive, 'formatDirective');
  }
}
