/** Utility type for events whose dispatcher fills in some of the fields. */

/** Distributes `Omit` over the members of a union; plain `Omit` keeps only the properties that all members share. */
export type DistributiveOmit<Union, Key extends PropertyKey> = Union extends unknown
  ? Omit<Union, Key>
  : never;
