import type {AdmittedRequest, EndpointTarget} from '@gentianshunt/entryModel';
import {hashToFraction} from '@gentianshunt/hashing';

/**
 * Computes how well an endpoint fits the shared parts of a prompt, from 0 to 1.
 * It answers the load of prompts that share parts: all entries order the endpoints
 * of a part in the same way without any message, so that requests with the part
 * meet at few endpoints, which keep what they have read. The last shared part is
 * the longest beginning that other prompts have as well.
 */
export function scorePartAffinity(
  {promptParts}: Pick<AdmittedRequest, 'promptParts'>,
  {endpoint}: EndpointTarget,
): number {
  const part = promptParts?.at(-1);
  return part === undefined ? 0 : hashToFraction(`${part}/${endpoint}`);
}
