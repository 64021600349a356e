/*
 * One malformed entry must not be used: only an address that can be dialled as
 * it is written is accepted.
 */
#include <stdio.h>
#include <string.h>

#include "base/host_port.h"
#include "base/tests/run_suite.h"

static enum host_port_kind classify(const char *text)
{
	return host_port_classify(text, strlen(text));
}

START_TEST(test_numeric)
{
	ck_assert_int_eq(classify("10.0.0.1:1"), HOST_PORT_NUMERIC);
	ck_assert_int_eq(classify("10.0.0.1:65535"), HOST_PORT_NUMERIC);
	ck_assert_int_eq(classify("[::1]:80"), HOST_PORT_NUMERIC);
	ck_assert_int_eq(classify("[::ffff:10.0.0.1]:80"), HOST_PORT_NUMERIC);
}
END_TEST

START_TEST(test_names)
{
	ck_assert_int_eq(classify("localhost:80"), HOST_PORT_NAME);
	ck_assert_int_eq(classify("a-1.b_2.example:8080"), HOST_PORT_NAME);
}
END_TEST

START_TEST(test_port_out_of_range)
{
	static const char *const ports[] = {
		"",
		"0",
		"00000",
		"-1",
		"+80",
		" 80",
		"8x",
		"65536",
		"99999",
		"99999999999",
		"1000000000000",
		"080800",
	};
	char text[64];

	for (size_t i = 0; i < sizeof(ports) / sizeof(ports[0]); i++) {
		snprintf(text, sizeof(text), "10.0.0.1:%s", ports[i]);
		ck_assert_msg(!classify(text), "%s", text);
		snprintf(text, sizeof(text), "[::1]:%s", ports[i]);
		ck_assert_msg(!classify(text), "%s", text);
		snprintf(text, sizeof(text), "name:%s", ports[i]);
		ck_assert_msg(!classify(text), "%s", text);
	}
}
END_TEST

START_TEST(test_malformed_hosts)
{
	static const char *const texts[] = {
		"",
		":",
		":80",
		"10.0.0.1",
		"[::1",
		"[::1]",
		"::1",
		"::1:80",
		"fe80::1:80",
		"[]:80",
		"[:80",
		"]:80",
		"[10.0.0.1]:80",
		"[::1%lo]:80",
		"u@10.0.0.1:80",
		"10.0.0.1/a:80",
		"10.0.0.1:80/a",
		"10.0.0.1?:80",
		"a b:80",
		"10.0.0.1\r\nX:80",
		"http://a:80",
		"10.0.0.999:80",
		"127.1:80",
		"2130706433:80",
		"0x7f000001:80",
		"a.:80",
		"\xff\xfe:80",
	};

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		ck_assert_msg(!classify(texts[i]), "%s", texts[i]);
}
END_TEST

START_TEST(test_nul_and_length)
{
	static const char with_nul[] = "10.0.0.1\0:80";
	static const char ipv6_with_nul[] = "[::1\0]:80";
	char text[10240];

	ck_assert(!host_port_classify(with_nul, sizeof(with_nul) - 1));
	ck_assert(
		!host_port_classify(ipv6_with_nul, sizeof(ipv6_with_nul) - 1));
	ck_assert(!host_port_classify("10.0.0.1:8\0", 11));
	memset(text, 'a', sizeof(text));
	text[sizeof(text) - 3] = ':';
	text[sizeof(text) - 2] = '8';
	text[sizeof(text) - 1] = '0';
	ck_assert(!host_port_classify(text, sizeof(text)));
	ck_assert_int_eq(host_port_classify(text + sizeof(text) - 127, 127),
			 HOST_PORT_NAME);
	ck_assert(!host_port_classify(text + sizeof(text) - 128, 128));
}
END_TEST

int main(void)
{
	return RUN_CASE("host_port", NULL, NULL, test_numeric, test_names,
			test_port_out_of_range, test_malformed_hosts,
			test_nul_and_length);
}
