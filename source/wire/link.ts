/** Authenticated links between processes, over TCP or TLS. */
import {type Observable} from 'rxjs';

/** Certificate, private key and certificate authority of a link, as PEM text. */
export type LinkCertificates = {
	readonly certificate: string;
	readonly key: string;
	readonly authority: string;
};

/** Name and credentials that a process uses on its links. */
export type LinkIdentity = {
	readonly name: string;
	readonly sharedKey: string;
	readonly certificates: LinkCertificates | undefined;
	/** Availability zone of the process, which it states to its peers so that they can count the bytes between zones. */
	readonly zone?: string;
	/** Whether links may have fewer pings while they are not used, if the peer allows it too. */
	readonly allowsSlowPings?: boolean;
};

/** Frame of one message that was sent or received on a link. */
export type Transfer = {
	readonly direction: 'sent' | 'received';
	/** The message; undefined for those of the handshake and for pings. */
	readonly message: unknown;
	/** Length of the frame, without what TLS and lower layers add. */
	readonly bytes: number;
	/** Availability zone of the peer; undefined if it has not stated it. */
	readonly peerZone: string | undefined;
};

/** An authenticated connection. */
export type Link<Message> = {
	/** Name that the peer sent in the handshake. */
	readonly peer: string;
	/** Emits the received messages. Completes when the link is closed, or emits the error of a malformed frame, which closes it. */
	readonly messages: Observable<Message>;
	/** Sends a message, or drops it when the connection is closed or its backlog is full. */
	send(message: unknown): void;
	close(): void;
};
