/** Types of undici modules that are imported by path. Loading the whole package takes 10 MB more memory. */

declare module 'undici/lib/dispatcher/pool' {
  import { Pool as PackagePool } from 'undici';

  export default class Pool extends PackagePool {}
}
