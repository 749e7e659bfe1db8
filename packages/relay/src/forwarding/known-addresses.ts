/** Compares the remote address of a connection with the addresses of instances. */

/** Begins an IPv4 address on a socket that takes both versions of the protocol. */
const mappedPrefix = '::ffff:';

const getHost = (address: string): string =>
  address.slice(0, address.lastIndexOf(':'));

/** True if one of the addresses, in the form `host:port`, has the remote one as its host. */
export const isKnownAddress = (
  remoteAddress: string | undefined,
  addresses: readonly string[],
): boolean => {
  if (remoteAddress === undefined) return false;
  const host = remoteAddress.startsWith(mappedPrefix)
    ? remoteAddress.slice(mappedPrefix.length)
    : remoteAddress;
  return addresses.some(address => getHost(address) === host);
};
