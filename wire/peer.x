/*
 * Membership messages, as calls of one ONC RPC program over UDP. A ping is
 * answered by a call of PEER_ACK instead of an RPC reply, so that a third
 * node can relay the acknowledgement to the node that asked for it.
 */

const PEER_NAME_MAX = 47;
const PEER_UPDATES_MAX = 5;

struct peer_address {
	unsigned int ip;
	unsigned int port;
};

struct peer_update {
	string name<PEER_NAME_MAX>;
	peer_address address;
	unsigned int state;
	unsigned int incarnation;
};

struct peer_message {
	unsigned int sequence;
	peer_update from;
	peer_address target;
	unsigned hyper head_revision;
	unsigned int head_age_ms;
	bool store_cut;
	peer_update updates<PEER_UPDATES_MAX>;
};

program CHIVEGW_PEER {
	version CHIVEGW_PEER_V1 {
		void PEER_PING(peer_message) = 1;
		void PEER_ACK(peer_message) = 2;
		void PEER_PING_REQ(peer_message) = 3;
	} = 1;
} = 0x20c41;
