"""Tests of the HTTP server of the stand-ins."""

import io

import pytest

from standins.serving import HttpResponse
from standins.serving import wsgi_application


@pytest.mark.parametrize(
    ("body", "status", "handled"),
    [(b"abc", "200 Status", 1), (b"ab", "400 Status", 0)],
    ids=["complete", "broken off"],
)
def test_only_complete_requests_are_handled(body, status, handled):
    requests = []

    def handle(request):
        requests.append(request)
        return HttpResponse(200, b"")

    environment = {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/x",
        "PATH_INFO": "/x",
        "CONTENT_LENGTH": "3",
        "wsgi.input": io.BytesIO(body),
    }
    statuses = []
    wsgi_application(handle)(
        environment, lambda line, headers: statuses.append(line)
    )
    assert (statuses, len(requests)) == ([status], handled)
