/*
 * Arguments of the fleet's other messages, as calls of the ONC RPC program of
 * peer.x over UDP; wire/fleet-codec.c numbers the procedures. During a
 * roll-out each node reports its counts to the nodes that evaluate them, and
 * these send the plan to all. No message is answered.
 */

const FLEET_NAME_MAX = 127;
const FLEET_ROUTES_MAX = 12;
const FLEET_CELLS = 8;
const FLEET_TOPICS = 3;
const FLEET_LOADS_MAX = 48;
const FLEET_SESSIONS_MAX = 64;
const FLEET_LIMITS_MAX = 64;
const FLEET_CRASHES_MAX = 32;
const FLEET_LOAD_LIMITS_MAX = 32;
const FLEET_BRITTLE_MAX = 32;
const FLEET_ZONES_MAX = 12;

struct fleet_cell {
	unsigned hyper route;
	unsigned int count[FLEET_CELLS];
};

struct fleet_report {
	string node<FLEET_NAME_MAX>;
	unsigned hyper boot;
	string service<FLEET_NAME_MAX>;
	string target<FLEET_NAME_MAX>;
	unsigned int age_ms;
	unsigned int requests;
	unsigned int sent_new;
	unsigned int old_in_flight;
	fleet_cell cells<FLEET_ROUTES_MAX>;
};

struct fleet_session {
	unsigned hyper session;
	unsigned int is_new;
};

struct fleet_sessions {
	string service<FLEET_NAME_MAX>;
	string target<FLEET_NAME_MAX>;
	fleet_session list<FLEET_SESSIONS_MAX>;
};

struct fleet_load {
	unsigned hyper server;
	unsigned int decode;
	unsigned int prefill;
	unsigned int in_flight;
};

struct fleet_loads {
	string node<FLEET_NAME_MAX>;
	unsigned hyper changed[FLEET_TOPICS];
	fleet_load list<FLEET_LOADS_MAX>;
};

struct fleet_limit {
	unsigned hyper server;
	unsigned int per_s_milli;
	unsigned int age_ms;
};

struct fleet_limits {
	string node<FLEET_NAME_MAX>;
	fleet_limit list<FLEET_LIMITS_MAX>;
};

struct fleet_crash {
	unsigned hyper part;
	unsigned hyper server;
	unsigned hyper request;
	unsigned int depth;
	unsigned int age_ms;
};

struct fleet_answered_part {
	unsigned hyper part;
	unsigned int age_ms;
};

struct fleet_crashes {
	string node<FLEET_NAME_MAX>;
	fleet_crash list<FLEET_CRASHES_MAX>;
	fleet_answered_part answered<FLEET_CRASHES_MAX>;
};

struct fleet_load_limit {
	unsigned hyper version_hash;
	unsigned int limit;
	unsigned int age_ms;
};

struct fleet_load_limits {
	string node<FLEET_NAME_MAX>;
	fleet_load_limit list<FLEET_LOAD_LIMITS_MAX>;
};

struct fleet_brittle {
	unsigned hyper service;
	unsigned hyper server;
	unsigned int refusals_per_s_milli;
	unsigned int age_ms;
};

struct fleet_brittle_list {
	string node<FLEET_NAME_MAX>;
	fleet_brittle list<FLEET_BRITTLE_MAX>;
};

typedef string fleet_zone<FLEET_NAME_MAX>;

struct fleet_evacuations {
	string node<FLEET_NAME_MAX>;
	unsigned hyper revision;
	fleet_zone zones<FLEET_ZONES_MAX>;
};

struct fleet_source {
	string node<FLEET_NAME_MAX>;
	unsigned hyper servers;
	unsigned hyper changed[FLEET_TOPICS];
};

struct fleet_plan {
	string node<FLEET_NAME_MAX>;
	string service<FLEET_NAME_MAX>;
	string target<FLEET_NAME_MAX>;
	unsigned int age_ms;
	unsigned int share;
	unsigned int state;
	bool fills;
};
