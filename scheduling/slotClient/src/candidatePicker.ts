import {canServe} from '@gentianshunt/entryModel';
import type {AdmittedRequest, EndpointTarget} from '@gentianshunt/entryModel';

/** A request and the endpoint that it was picked for. */
export interface PickedCandidate {
  readonly request: AdmittedRequest;
  readonly target: EndpointTarget;
}

/** Hands out the candidates of a queue, each once and in their order. */
export interface CandidatePicker {
  /** Takes the first request that an endpoint may serve. */
  take(target: EndpointTarget): AdmittedRequest | undefined;
  /** Takes all requests for which a target is found. */
  takeAll(
    findTarget: (request: AdmittedRequest) => EndpointTarget | undefined,
  ): readonly PickedCandidate[];
  /** Lists the requests that were not taken. */
  listRest(): readonly AdmittedRequest[];
}

/** Creates a picker of requests in dispatch order. */
export function createCandidatePicker(
  requests: readonly AdmittedRequest[],
): CandidatePicker {
  let rest = [...requests];
  return {
    take: target => {
      const index = rest.findIndex(request => canServe(target, request));
      return index < 0 ? undefined : rest.splice(index, 1)[0];
    },
    takeAll: findTarget => {
      const picked = rest.flatMap(request => {
        const target = findTarget(request);
        return target === undefined ? [] : [{request, target}];
      });
      const taken = new Set(picked.map(({request}) => request));
      rest = rest.filter(request => !taken.has(request));
      return picked;
    },
    listRest: () => rest,
  };
}
