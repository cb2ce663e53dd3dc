/** Types of the parts of undici that are loaded by path; the whole package costs 10 MB more. */

declare module 'undici/lib/dispatcher/pool' {
  import { Pool as PackagePool } from 'undici';

  export default class Pool extends PackagePool {}
}

declare module 'undici/lib/api/api-request' {
  import type { Dispatcher } from 'undici';

  /** As `request` of undici, with the dispatcher as `this`. */
  export default function callRequest(
    this: Pick<Dispatcher, 'dispatch'>,
    options: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData>;
}
