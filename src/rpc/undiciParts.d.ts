/** Types of the parts of undici that are loaded by path; the whole package costs 10 MB more. */

declare module 'undici/lib/dispatcher/agent' {
  import { Agent as PackageAgent } from 'undici';

  export default class Agent extends PackageAgent {}
}

declare module 'undici/lib/api/api-request' {
  import type { Dispatcher } from 'undici';

  /** As `request` of undici, with the dispatcher as `this`. */
  export default function callRequest(
    this: Pick<Dispatcher, 'dispatch'>,
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData>;
}
