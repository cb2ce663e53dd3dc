/** Types of the parts of undici that are loaded by path; the whole package costs 10 MB more. */

declare module 'undici/lib/dispatcher/pool' {
  import { Pool as PackagePool } from 'undici';

  export default class Pool extends PackagePool {}
}
