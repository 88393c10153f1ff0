/** Accepts the links of other control hosts and of entries. */
import {
	listenForLinks, receiveMessages, type Link, type LinkIdentity, type LinkListener, type MessageReceiver, type Transfer,
} from '../wire/index.js';
import {checkInbound} from './inbound-check.js';
import {type InboundHandler} from './inbound-handler.js';
import {type MembershipManager} from './membership-manager.js';
import {type ControlInbound} from './message.js';

/** Options of `serveLinks`. */
export type LinkServerOptions = {
	readonly identity: LinkIdentity;
	/** Address for links. */
	readonly address: {readonly host: string; readonly port: number};
	/** Open links, to which the new ones are added while they are open. */
	readonly links: Set<Link<ControlInbound>>;
	readonly receive: InboundHandler;
	readonly sendDirectory: MembershipManager['sendDirectory'];
	/** Called after a link was ended because of an error. */
	readonly onFailure: MessageReceiver<ControlInbound>['onFailure'];
	/** Called with each frame that is sent or received. */
	readonly onTransfer: (transfer: Transfer) => void;
};

/**
 * Starts to accept links. Each one gets the directory at once.
 * @param options - Address, identity and handler of the messages.
 */
export async function serveLinks(options: LinkServerOptions): Promise<LinkListener> {
	const {identity, address, links, receive, sendDirectory, onFailure} = options;
	return listenForLinks<ControlInbound>({
		identity,
		setting: 'links',
		host: address.host,
		port: address.port,
		onTransfer: options.onTransfer,
		onConnect(link) {
			links.add(link);
			sendDirectory(link);
			receiveMessages<ControlInbound>(link, {
				check: checkInbound,
				handle: async message => receive(link, message),
				onClose() {
					links.delete(link);
				},
				onFailure,
			});
		},
	});
}
