/** Types of events without the fields that their dispatcher fills in. */

/** Leaves fields out of each member of a union, where `Omit` would join the members first. */
export type OmitEach<Union, Key extends PropertyKey> = Union extends unknown
  ? Omit<Union, Key>
  : never;
