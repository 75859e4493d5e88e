/** A connection from one VM to another, through a proxy. */
export interface ProxiedLink {
  /** `undefined` until the first frame names the VM that dialled. */
  dialler: string | undefined;
  readonly target: string;
  /** Whether the connection stays silent for good. */
  isStale: boolean;
  reset(): void;
}
